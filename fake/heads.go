package fake

import (
	"fmt"
	"strings"
)

// InvalidHeads are the starts of the heads of invalid responses (RFC 9110, RFC 9112), by their fault and a
// description. The rest is that of a complete response.
var InvalidHeads = map[string]map[string]string{
	"status": {
		"000": "HTTP/1.1 000 Trouble\r\n", "signed": "HTTP/1.1 -00 Trouble\r\n", "two digits": "HTTP/1.1 +20 Trouble\r\n", "below 100": "HTTP/1.1 099 Trouble\r\n",
		"600": "HTTP/1.1 600 Trouble\r\n", "999": "HTTP/1.1 999 Trouble\r\n", "upgrade": "HTTP/1.1 101 Switching Protocols\r\n", "other protocol": "HTTP/2.0 200 OK\r\n",
	},
	"field name": {
		"blank": "HTTP/1.1 200 OK\r\nX Header: 1\r\n", "blank before the colon": "HTTP/1.1 200 OK\r\nX-Header : 1\r\n",
		"length with a blank": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n", "length, blank first": "HTTP/1.1 200 OK\r\nX-Header: 1\r\n Content-Length: 2\r\n",
		"control byte": "HTTP/1.1 200 OK\r\nX-\x01Header: 1\r\n", "carriage return": "HTTP/1.1 200 OK\r\nX-Header\r: 1\r\n", "empty": "HTTP/1.1 200 OK\r\n: 1\r\n",
		"control byte in a value": "HTTP/1.1 200 OK\r\nX-Header: a\x00b\r\n", "no colon": "HTTP/1.1 200 OK\r\nX-Header\r\n",
		"blank in an interim response": "HTTP/1.1 103 Early Hints\r\nX Header: 1\r\n\r\nHTTP/1.1 200 OK\r\n",
	},
	"framing": {
		"length and chunks":             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n",
		"length and chunks, in capital": "HTTP/1.1 200 OK\r\nCONTENT-LENGTH: 2\r\nTRANSFER-ENCODING: chunked\r\n",
		"chunks in HTTP/1.0":            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
		"two lengths":                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n",
		"other coding":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
		"negative length":               "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n",
	},
	"size": {
		"short fields":      "HTTP/1.1 200 OK\r\n" + shortFields(5000),
		"interim responses": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000) + "HTTP/1.1 200 OK\r\n",
	},
}

// UnusualHeads are the starts of the heads of valid responses that are unusual, by a description.
var UnusualHeads = map[string]string{
	"HTTP/1.0": "HTTP/1.0 200 OK\r\n", "no reason": "HTTP/1.1 200 \r\n", "no blank behind the status": "HTTP/1.1 200\r\n",
	"line feeds": "HTTP/1.1 200 OK\nX-Header: 1\n", "the same length twice": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n",
	"empty value": "HTTP/1.1 200 OK\r\nX-Header:\r\n", "long value": "HTTP/1.1 200 OK\r\nX-Header: " + strings.Repeat("x:", 16<<10) + "\r\n",
	"bytes beyond ASCII in a value": "HTTP/1.1 200 OK\r\nX-Header: \xe9\r\n", "many fields": "HTTP/1.1 200 OK\r\n" + shortFields(200),
	"interim responses": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n",
	"chunks":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n",
}

// shortFields returns a number of fields with different short names.
func shortFields(count int) string {
	var fields strings.Builder
	for i := range count {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return fields.String()
}

// CompleteResponse returns a response with a head and a body, in chunks if the head names that coding.
func CompleteResponse(head, body string) string {
	if strings.Contains(strings.ToLower(head), "chunked") {
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return head + "\r\n" + body
}

// SoundHeads are heads of valid responses, without the empty line at their end, for each framing of a body.
var SoundHeads = map[string]string{
	"length":            "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n",
	"length first":      "HTTP/1.1 200 OK\r\nContent-Length: 24\r\nX-Header: value: 1\r\n",
	"chunks":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
	"end of connection": "HTTP/1.1 200 OK\r\nConnection: close\r\n",
	"HTTP/1.0":          "HTTP/1.0 200 OK\r\nX-Header: 1\r\n",
	"no body":           "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
	"line feeds":        "HTTP/1.1 200 OK\nContent-Length: 24\n",
	"interim responses": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 24\r\n",
	"not run":           "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n",
}

// CutHeads returns the beginnings of the head of a response, each shorter by a byte, down to nothing. The longest is
// short of the line feed that ends the head. fields are added to the head at its end and, in further beginnings, behind
// the status line.
func CutHeads(head, fields string) []string {
	end := "\r\n"
	if !strings.Contains(head, "\r") {
		fields, end = strings.ReplaceAll(fields, "\r", ""), "\n"
	}
	status := strings.LastIndex(head, "HTTP/1.")
	status += strings.Index(head[status:], "\n") + 1
	var cuts []string
	for _, whole := range []string{head + fields + end, head[:status] + fields + head[status:] + end} {
		for i := range len(whole) {
			cuts = append(cuts, whole[:i])
		}
	}
	return cuts
}

// EveryCut returns each step-th of the beginnings of a head and the last. Each takes a connection, of which a host has a
// limited number a minute.
func EveryCut(cuts []string, step int) []string {
	var some []string
	for i := 0; i < len(cuts); i += step {
		some = append(some, cuts[i])
	}
	return append(some, cuts[len(cuts)-1])
}
