package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// record is a record of a keyed topic. Records of other topics are not used.
type record struct {
	key    string
	value  []byte
	offset int64
}

// producer is the state of a producer in a partition.
type producer struct {
	epoch, next int64
	answers     map[int64]int64
}

// partition is a partition of a topic.
type partition struct {
	records   []record
	newest    map[string]record
	producers map[string]*producer
}

// store is the platform's store as PROTOCOL.md describes it: a log with keyed topics.
type store struct {
	mu      sync.Mutex
	parts   map[string]*partition
	changed chan struct{}
	// latency is the time of an answer.
	latency time.Duration
	// onAppend is told of each record, with mu held.
	onAppend func(topic string, r record)
}

func newStore() *store {
	return &store{parts: make(map[string]*partition), changed: make(chan struct{}), latency: 4 * time.Millisecond}
}

// part returns a partition. The caller holds mu.
func (s *store) part(topic string, number int) *partition {
	key := topic + "/" + strconv.Itoa(number)
	if s.parts[key] == nil {
		s.parts[key] = &partition{newest: make(map[string]record), producers: make(map[string]*producer)}
	}
	return s.parts[key]
}

// appendRecords appends records. The caller holds mu.
func (s *store) appendRecords(topic string, p *partition, records []record) int64 {
	first := int64(len(p.records))
	for _, r := range records {
		r.offset = int64(len(p.records))
		p.records = append(p.records, r)
		p.newest[r.key] = r
		if len(r.value) == 0 {
			delete(p.newest, r.key)
		}
		if s.onAppend != nil {
			s.onAppend(topic, r)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

// put writes a record as the operator or a replica does.
func (s *store) put(topic, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	if value == nil {
		content = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendRecords(topic, s.part(topic, 0), []record{{key: key, value: content}})
}

// newestKeys returns the keys of a topic's newest records, in the order of their offsets.
func (s *store) newestKeys(topic string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, 0)
	keys := make([]string, 0, len(p.newest))
	for key := range p.newest {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return p.newest[keys[i]].offset < p.newest[keys[j]].offset })
	return keys
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(status)
	_, _ = w.Write(content)
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

const (
	maxRecord = 262144
	maxCall   = 2097152
)

// decodeRecords decodes the body of an append to a keyed topic.
func decodeRecords(body []byte) ([]record, error) {
	if len(body) > maxCall+1<<16 {
		return nil, fmt.Errorf("call of %d bytes", len(body))
	}
	var records []record
	total := 0
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, fmt.Errorf("truncated")
		}
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > maxRecord || size > len(body)-4 || int(body[4]) > size-1 {
			return nil, fmt.Errorf("record of %d bytes", size)
		}
		if total += size; total > maxCall {
			return nil, fmt.Errorf("call of over %d bytes", maxCall)
		}
		content, key := body[5:4+size], int(body[4])
		records = append(records, record{key: string(content[:key]), value: append([]byte(nil), content[key:]...)})
		body = body[4+size:]
	}
	return records, nil
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.latency)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	topic, query := r.URL.Query().Get("topic"), r.URL.Query()
	if topic == "keyed.op" || topic == "keyed.servers" {
		writeJSON(w, http.StatusForbidden, map[string]any{})
		return
	}
	records, err := decodeRecords(body)
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, map[string]any{"why": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, int(number(r, "part")))
	if query.Has("at") && number(r, "at") != int64(len(p.records)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": len(p.records)})
		return
	}
	name := query.Get("producer")
	if name == "" {
		first := s.appendRecords(topic, p, records)
		writeJSON(w, http.StatusOK, map[string]any{"offset": first, "end": len(p.records)})
		return
	}
	epoch, seq := number(r, "epoch"), number(r, "seq")
	known := p.producers[name]
	switch {
	case known == nil || epoch > known.epoch:
		known = &producer{epoch: epoch, next: seq, answers: make(map[int64]int64)}
		p.producers[name] = known
	case epoch < known.epoch:
		writeJSON(w, http.StatusConflict, map[string]any{"why": "fenced"})
		return
	}
	if first, repeated := known.answers[seq]; repeated && seq >= known.next-5 {
		writeJSON(w, http.StatusOK, map[string]any{"offset": first, "end": len(p.records)})
		return
	}
	if seq != known.next {
		writeJSON(w, http.StatusConflict, map[string]any{"why": "seq", "seq": known.next})
		return
	}
	first := int64(len(p.records))
	if len(records) > 0 {
		first = s.appendRecords(topic, p, records)
		known.answers[seq] = first
		known.next++
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": first, "end": len(p.records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.latency)
	from, limit := number(r, "from"), number(r, "max_kb")<<10
	if limit == 0 {
		limit = 1 << 20
	}
	deadline := time.After(time.Duration(min(number(r, "wait_ms"), 30000)) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		p, changed := s.part(r.URL.Query().Get("topic"), int(number(r, "part"))), s.changed
		records, end := []record(nil), int64(len(p.records))
		if from < end {
			records = p.records[from:]
		}
		s.mu.Unlock()
		if len(records) > 0 || expired || number(r, "wait_ms") == 0 {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for i := range records {
				size := 1 + len(records[i].key) + len(records[i].value)
				if i > 0 && int64(len(body)+size) > limit {
					break
				}
				body = binary.BigEndian.AppendUint32(body, uint32(size))
				body = append(body, byte(len(records[i].key)))
				body = append(append(body, records[i].key...), records[i].value...)
			}
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = w.Write(body)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-deadline:
			expired = true
		case <-changed:
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.latency)
	s.mu.Lock()
	p := s.part(r.URL.Query().Get("topic"), int(number(r, "part")))
	end, after := len(p.records), r.URL.Query().Get("after")
	var found []record
	for key, value := range p.newest {
		if key > after {
			found = append(found, value)
		}
	}
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].key < found[j].key })
	items, size, more := []any{}, 0, false
	for i := range found {
		if size += len(found[i].value); i >= 500 || (i > 0 && size > 1<<20) {
			more = true
			break
		}
		items = append(items, map[string]any{"key": found[i].key, "value": found[i].value, "offset": found[i].offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": end})
}
