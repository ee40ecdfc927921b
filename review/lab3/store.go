package main

import (
	"encoding/binary"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/platform/mimic"
)

// storeHandler serves the store. Reads of the log keep to max_kb, which the project's own stand-in ignores.
func (l *lab) storeHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", mimic.StoreHandler(l.store))
	mux.HandleFunc("GET /log-read", l.serveRead)
	return mux
}

// serveRead serves a read of the log.
func (l *lab) serveRead(w http.ResponseWriter, r *http.Request) {
	number := func(name string) int64 {
		value, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
		if err != nil {
			return 0
		}
		return value
	}
	page, err := l.store.Read(r.Context(), gypsum.KeyedRead{
		Topic: gypsum.Topic(r.URL.Query().Get("topic")), Part: gypsum.Partition(number("part")), From: gypsum.Offset(number("from")),
		Wait: time.Duration(number("wait_ms")) * time.Millisecond, Max: gypsum.Bytes(number("max_kb")) << 10,
	})
	switch {
	case errors.Is(err, gypsum.ErrTruncated):
		w.WriteHeader(http.StatusGone)
		return
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(page.Next))
	body = binary.BigEndian.AppendUint64(body, uint64(page.First))
	for _, record := range page.Records {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.Key)+len(record.Value)))
		body = append(body, byte(len(record.Key)))
		body = append(append(body, record.Key...), record.Value...)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
