package mesh

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Row is one row of the store. Value is base64 in JSON.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Store is a stand-in for the platform's metadata store: rows-tx, rows-get and rows-feed.
// It acknowledges what it has applied and forgets nothing.
type Store struct {
	Address string
	record  *Record
	started time.Time
	server  *http.Server

	mu      sync.Mutex
	ver     uint64
	rows    map[string]Row
	changed chan struct{}
}

// StartStore starts the stand-in on a free port of ip.
func StartStore(record *Record, ip string) (*Store, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), record: record, started: time.Now(), rows: make(map[string]Row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Close ends the stand-in.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes one row as the operator does. It returns once the row is stored.
func (s *Store) Put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(table, key, value)
	s.notify()
	s.record.Printf("operator: %s/%s is stored as version %d", table, key, s.ver)
	return s.ver
}

// Get returns the value of a row, or nil.
func (s *Store) Get(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[table+"/"+key].Value
}

func (s *Store) set(table, key string, value []byte) {
	s.rows[table+"/"+key] = Row{Table: table, Key: key, Value: value, Ver: s.ver}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ExpectedRev []Row `json:"expectedRev"`
		SetKeys     []Row `json:"setKeys"`
		DeleteKeys  []Row `json:"deleteKeys"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range append(append([]Row{}, body.SetKeys...), body.DeleteKeys...) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []Row
	holds := true
	for _, want := range body.ExpectedRev {
		have := s.rows[want.Table+"/"+want.Key]
		if have.Ver != 0 {
			current = append(current, have)
		}
		holds = holds && have.Ver == want.Ver
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.ver++
	for _, row := range body.SetKeys {
		s.set(row.Table, row.Key, row.Value)
		if row.Table == "status" {
			s.record.Printf("store: %s/%s = %s", row.Table, row.Key, row.Value)
		}
	}
	for _, row := range body.DeleteKeys {
		delete(s.rows, row.Table+"/"+row.Key)
	}
	s.notify()
	s.answer(w, http.StatusOK, map[string]any{})
}

// answer adds the newest version and the steady clock. The caller holds mu.
func (s *Store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"] = s.ver
	body["now"] = fmt.Sprintf("%dms", time.Since(s.started).Milliseconds())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []Row{}
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Key >= q.Get("from") && (q.Get("target") == "" || row.Key < q.Get("target")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	s.answer(w, http.StatusOK, map[string]any{"rows": rows[:min(len(rows), limit)], "hasMore": more})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []Row{}
		for _, row := range s.rows {
			if row.Table == q.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		changed := s.changed
		if len(rows) > 0 {
			slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Ver, b.Ver) })
			s.answer(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			s.mu.Lock()
			s.answer(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
	}
}
