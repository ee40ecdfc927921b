package gypsum

import "time"

// RequestRate is a number of requests per second.
type RequestRate float64

// RateObserver is told of the limits that replicas put on the rate of their requests. A
// replica that is short of capacity states in its responses how many requests per second it
// accepts from all daemons together. The limit is in force until a response states none.
type RateObserver interface {
	// ObserveRateLimit is called for each response before it is passed on. limit is nil if
	// the response states none; sentAt is when the request was sent. It may be called
	// concurrently.
	ObserveRateLimit(replica *Replica, limit *RequestRate, sentAt time.Time)
}
