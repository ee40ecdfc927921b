package wire

import (
	"encoding/hex"
	"encoding/json"
	"net/http"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
)

// recordedMessages are the messages between the daemons of a platform deployment, with the values
// that were encoded into testdata/messages.golden by the first build that must run beside newer
// ones.
var recordedMessages = map[string]any{
	"store_append": gypsum.KeyedAppend{
		Topic: "keyed.state", Part: 3, Records: []gypsum.KeyedRecord{{Key: "k", Value: []byte("v"), Offset: 4}}, Producer: "host-1.1", Epoch: 2, Sequence: 9,
	},
	"store_read":   gypsum.KeyedRead{Topic: "keyed.state", Part: 3, From: 12, Max: 1024, Wait: time.Second},
	"store_newest": latestRequest{Topic: "keyed.op", Partition: 0, After: "config"},
	"store_response_page": storeResponse{
		Page: &gypsum.KeyedPage{Records: []gypsum.KeyedRecord{{Key: "k", Value: []byte("v"), Offset: 4}}, Next: 5, First: 1},
	},
	"store_response_latest": storeResponse{Latest: &gypsum.LatestPage{Records: []gypsum.KeyedRecord{{Key: "k", Value: []byte("v"), Offset: 4}}, More: true, Next: 5}},
	"store_response_error":  storeResponse{ErrorCode: "refused", Offset: 3},
	"permit_request":        gypsum.PermitRequest{Replica: "replica-1", Incarnation: 8, Limit: 2.5, MaxWait: time.Second, Substitute: true},
	"permit_response":       gypsum.PermitResponse{Granted: true, Wait: time.Second},
	"origins":               originsMessage{Origins: []gypsum.StreamOrigin{{Request: "request-1", Service: "engines", Software: "v2"}}},
	"find_origin":           findOriginMessage{First: "request-1"},
	"origin":                originMessage{Origin: &gypsum.StreamOrigin{Request: "request-1", Service: "engines", Software: "v2"}},
	"reach_query":           gypsum.ReachQuery{Service: "engines", Replica: "replica-1"},
	"reaches":               reachesMessage{Reaches: true},
	"forwarded_request": gypsum.ForwardedRequest{
		Replica: "replica-1", Incarnation: 8, Method: "POST", Target: "/a?b=c", HostName: "host.example", Header: http.Header{"A": {"1"}}, Body: []byte("body"), ID: "request-1",
	},
	"forward_part": forwardMessage{Status: 200, Header: http.Header{"A": {"1"}}, Data: []byte("data"), End: true, Error: "broken", Detail: "text"},
}

// TestMessagesOfEarlierBuild guards against a change of the encoding of a message: during an
// upgrade, daemons of two builds call each other.
func TestMessagesOfEarlierBuild(t *testing.T) {
	is := is.New(t)
	content, err := os.ReadFile("testdata/messages.golden")
	is.NoErr(err)
	var recorded map[string]string
	is.NoErr(json.Unmarshal(content, &recorded))
	is.Equal(len(recorded), len(recordedMessages))
	for name, expected := range recordedMessages {
		encoded, err := hex.DecodeString(recorded[name])
		is.NoErr(err)
		decoded := reflect.New(reflect.TypeOf(expected))
		is.NoErr(cborCodec{}.Unmarshal(encoded, decoded.Interface()))
		is.Equal(decoded.Elem().Interface(), expected) // a message of the earlier build is read as it was sent
	}
}

// TestMessagesOfLaterBuild guards against a message that is rejected because a newer build adds a
// field to it.
func TestMessagesOfLaterBuild(t *testing.T) {
	is := is.New(t)
	for name, expected := range recordedMessages {
		encoded, err := cborCodec{}.Marshal(expected)
		is.NoErr(err)
		var fields map[any]any
		is.NoErr(cbor.Unmarshal(encoded, &fields))
		var newField any = 9000
		for key := range fields {
			if _, ok := key.(string); ok {
				newField = "NewField"
			}
		}
		fields[newField] = "new"
		extended, err := cbor.Marshal(fields)
		is.NoErr(err)
		decoded := reflect.New(reflect.TypeOf(expected))
		if err := (cborCodec{}).Unmarshal(extended, decoded.Interface()); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		is.Equal(decoded.Elem().Interface(), expected)
	}
}
