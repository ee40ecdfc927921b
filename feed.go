package gypsum

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// FeedRead is a request of a daemon for records of a topic that another daemon reads from the store.
type FeedRead struct {
	Topic Topic  `cbor:"1,keyasint"`
	From  Offset `cbor:"2,keyasint"`
	// Wait is how long the response may wait for a record.
	Wait time.Duration `cbor:"3,keyasint"`
}

// FeedPage is a sequence of consecutive records that another daemon has read.
type FeedPage struct {
	Records []KeyedRecord `cbor:"1,keyasint,omitempty"`
	// Next is the offset after the last record that the store had.
	Next Offset `cbor:"2,keyasint"`
	// Age is how long before the response the read behind the page was sent to the store, and
	// ResponseAge how long before it the store responded to that read.
	Age         time.Duration `cbor:"3,keyasint"`
	ResponseAge time.Duration `cbor:"4,keyasint"`
	// Held is the time from the arrival of the request to the response.
	Held time.Duration `cbor:"5,keyasint"`
}

// FeedSource serves the records of topics that it reads from the store.
type FeedSource interface {
	// ReadFeed returns ErrFeedUnavailable if the source does not read the topic itself, has no
	// fresh records or no longer has the ones at the offset.
	ReadFeed(ctx context.Context, req FeedRead) (*FeedPage, error)
}

// PeerFeeds returns clients of the feeds of other daemons.
type PeerFeeds interface {
	// FeedFrom returns a client of the feed of the daemon at an address.
	FeedFrom(address string) FeedSource
}

// ErrFeedUnavailable is returned by a daemon that does not serve the records of a topic.
var ErrFeedUnavailable = errors.New("daemon does not serve the topic")
