package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is one row of the platform's metadata store as PROTOCOL.md writes it.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store: tables of rows with one counter, linearizable.
// While it is down, it takes connections and answers nothing.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	rows    map[string]storeRow // by table, part and key; dropped rows stay as marks
	ver     uint64
	changed chan struct{} // closed at each change of the rows or of down
	down    bool
}

func newStore(address string) (*store, error) {
	s := &store{address: address, started: time.Now(), rows: make(map[string]storeRow), changed: make(chan struct{})}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("GET /-/rows-parts", func(w http.ResponseWriter, _ *http.Request) {
		s.answer(w, http.StatusOK, map[string]any{"parts": []string{""}, "hasMore": false})
	})
	mux.HandleFunc("POST /-/rows-tx", s.tx)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// setDown begins or ends an outage.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// lost keeps a call without an answer during an outage, also one that came before it, and reports
// whether there is one.
func (s *store) lost(r *http.Request) bool {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		<-r.Context().Done()
	}
	return down
}

// put writes a row of the operator's.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[rowName(table, "", key)] = storeRow{Table: table, Key: key, Value: value, Ver: s.ver}
	s.notify()
}

// value returns the value of a row with an empty part.
func (s *store) value(table, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.rows[rowName(table, "", key)].Value)
}

// dump returns the keys of a table.
func (s *store) dump(table string) (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rows {
		if r.Table == table && !r.Deleted {
			keys = append(keys, r.Key)
		}
	}
	sort.Strings(keys)
	return keys
}

func rowName(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	s.mu.Lock()
	if _, ok := body["ver"]; !ok {
		body["ver"] = s.ver
	}
	s.mu.Unlock()
	body["now"] = fmt.Sprintf("%dms", time.Since(s.started).Milliseconds())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	if s.lost(r) {
		return
	}
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	out, ver := []storeRow{}, s.ver
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && !row.Deleted && row.Key >= q.Get("from") && (q.Get("target") == "" || row.Key < q.Get("target")) {
			out = append(out, row)
		}
	}
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > limit
	out = out[:min(len(out), limit)]
	s.answer(w, http.StatusOK, map[string]any{"rows": out, "hasMore": more, "ver": ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	time.Sleep(4 * time.Millisecond)
	for {
		if s.lost(r) {
			return
		}
		s.mu.Lock()
		out, ver, changed := []storeRow{}, s.ver, s.changed
		for _, row := range s.rows {
			if row.Table == q.Get("table") && row.Ver > after {
				out = append(out, row)
			}
		}
		s.mu.Unlock()
		sort.Slice(out, func(i, j int) bool { return out[i].Ver < out[j].Ver })
		done := len(out) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
			}
		}
		if s.lost(r) {
			return
		}
		s.answer(w, http.StatusOK, map[string]any{"rows": out, "ver": ver})
		return
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct{ ExpectedRev, SetKeys, DeleteKeys []storeRow }
	raw, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(raw, &body)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(6 * time.Millisecond)
	if s.lost(r) {
		return // nothing is written
	}
	s.mu.Lock()
	current, conflict, forbidden := []storeRow{}, false, false
	for _, c := range body.ExpectedRev {
		row := s.rows[rowName(c.Table, c.Part, c.Key)]
		if row.Deleted {
			row.Ver = 0
		}
		if row.Ver != c.Ver {
			conflict = true
		}
		if row.Ver != 0 {
			current = append(current, row)
		}
	}
	for _, c := range append(body.SetKeys, body.DeleteKeys...) {
		forbidden = forbidden || c.Table == "op" || c.Table == "servers"
	}
	if !conflict && !forbidden {
		s.ver++
		for _, c := range body.SetKeys {
			s.rows[rowName(c.Table, c.Part, c.Key)] = storeRow{Table: c.Table, Part: c.Part, Key: c.Key, Value: c.Value, Ver: s.ver}
		}
		for _, c := range body.DeleteKeys {
			s.rows[rowName(c.Table, c.Part, c.Key)] = storeRow{Table: c.Table, Part: c.Part, Key: c.Key, Ver: s.ver, Deleted: true}
		}
		s.notify()
	}
	s.mu.Unlock()
	switch {
	case forbidden:
		w.WriteHeader(http.StatusForbidden)
	case conflict:
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
	default:
		s.answer(w, http.StatusOK, map[string]any{})
	}
}
