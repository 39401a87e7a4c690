package fake

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/platform"
	"corianderwood.example/corianderwood/pkg/platform/aws"
	"corianderwood.example/corianderwood/pkg/platform/memory"
	"github.com/google/go-cmp/cmp"
)

// startPlatform serves a fake platform and returns it, its base URL, and the table and the
// object store of the pkg/platform/aws adapter connected to it.
func startPlatform(t *testing.T) (*Platform, string, *aws.Table, *aws.ObjectStore) {
	t.Helper()
	p := NewPlatform(1)
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	table, objects, err := aws.New(aws.Options{Endpoint: server.URL, Region: "local", TableName: "mesh", Bucket: "sections",
		AccessKeyID: "test", SecretAccessKey: "test"})
	if err != nil {
		t.Fatal(err)
	}
	return p, server.URL, table, objects
}

// Guards against an implementation of platform.Table or platform.ObjectStore whose rows,
// conditions or order differ from the interface: the in-memory one and the AWS adapter on
// the fake run the same steps.
func TestPlatformContract(t *testing.T) {
	_, _, table, objects := startPlatform(t)
	implementations := map[string]struct {
		platform.Table
		objects platform.ObjectStore
	}{
		"memory": {memory.NewTable(1), memory.NewObjectStore(1)},
		"aws":    {table, objects},
	}
	for name, impl := range implementations {
		t.Run(name, func(t *testing.T) {
			ctx := t.Context()
			steps := []struct {
				writes []platform.Write
				want   error
			}{
				{[]platform.Write{{Key: "head", Value: []byte("a"), Condition: platform.IfAbsent}}, nil},
				{[]platform.Write{{Key: "head", Value: []byte("b"), Condition: platform.IfAbsent}}, platform.ErrConflict},
				{[]platform.Write{{Key: "head", Value: []byte("b"), Condition: platform.IfRevision, Revision: 1}}, nil},
				{[]platform.Write{{Key: "head", Value: []byte("c"), Condition: platform.IfRevision, Revision: 1}}, platform.ErrConflict},
				{[]platform.Write{{Key: "none", Condition: platform.IfRevision, Revision: 1}}, platform.ErrConflict},
				{[]platform.Write{{Key: "member/1/a", Value: nil}, {Key: "member/1/b", Value: []byte{0}}, {Key: "member/2/c"}}, nil},
				{[]platform.Write{{Key: "member/1/a", Value: []byte("2")}}, nil},
				{[]platform.Write{{Key: "op/1", Condition: platform.IfAbsent}, {Key: "head", Condition: platform.IfRevision, Revision: 9}}, platform.ErrConflict},
				{[]platform.Write{{Key: "op/1", Condition: platform.IfAbsent}, {Key: "head", Value: []byte("d"), Condition: platform.IfRevision, Revision: 2}}, nil},
				{[]platform.Write{{Key: "member/2/c", Delete: true, Condition: platform.IfRevision, Revision: 7}}, platform.ErrConflict},
				{[]platform.Write{{Key: "member/2/c", Delete: true, Condition: platform.IfRevision, Revision: 1}}, nil},
				{[]platform.Write{{Key: "member/2/c", Delete: true}}, nil},
				{[]platform.Write{{Key: "x"}, {Key: "x"}}, platform.ErrUnavailable},
				{nil, platform.ErrUnavailable},
			}
			for i, step := range steps {
				if err := impl.Transact(ctx, step.writes); !errors.Is(err, step.want) {
					t.Errorf("step %d: got %v, want %v", i, err, step.want)
				}
			}
			row, ok, err := impl.Get(ctx, "head")
			if want := (platform.Row{Key: "head", Revision: 3, Value: []byte("d")}); err != nil || !ok || !cmp.Equal(row, want) {
				t.Errorf("Get: %+v, %v, %v", row, ok, err)
			}
			if _, ok, err := impl.Get(ctx, "member/2/c"); ok || err != nil {
				t.Errorf("Get of a deleted row: %v, %v", ok, err)
			}
			for prefix, want := range map[string][]string{"member/1/": {"member/1/a", "member/1/b"}, "member/1/b": {"member/1/b"}, "member/3/": nil} {
				rows, err := impl.Query(ctx, prefix, 10)
				var keys []string
				for _, r := range rows {
					keys = append(keys, r.Key)
				}
				if err != nil || !cmp.Equal(keys, want) {
					t.Errorf("Query %s: %v, %v, want %v", prefix, keys, err, want)
				}
			}
			rows, err := impl.Query(ctx, "member/1/", 1)
			if err != nil || len(rows) != 1 || rows[0].Revision != 2 || string(rows[0].Value) != "2" {
				t.Errorf("Query with limit: %+v, %v", rows, err)
			}
			body := bytes.Repeat([]byte("x"), 5000)
			if err := impl.objects.Put(ctx, "sections/1", body); err != nil {
				t.Error(err)
			}
			if got, err := impl.objects.Get(ctx, "sections/1", 5000); err != nil || !bytes.Equal(got, body) {
				t.Errorf("Get object: %d bytes, %v", len(got), err)
			}
			if _, err := impl.objects.Get(ctx, "sections/1", 4999); !errors.Is(err, platform.ErrTooLarge) {
				t.Errorf("Get of a large object: %v", err)
			}
			if _, err := impl.objects.Get(ctx, "sections/2", 10); !errors.Is(err, platform.ErrNotFound) {
				t.Errorf("Get of a missing object: %v", err)
			}
		})
	}
}

// Guards against an error kind that is wrong for the fault: after a dropped response, a
// closed connection or a server error the outcome of a write is unknown, while a throttled
// write is known not to have been applied.
func TestPlatformFaults(t *testing.T) {
	tests := map[string]struct {
		faults                 PlatformFaults
		write, object, read    error
		single, multi, written bool
	}{
		"status":        {faults: PlatformFaults{Down: DownStatus}, write: platform.ErrUnknownOutcome, object: platform.ErrUnknownOutcome, read: platform.ErrUnavailable},
		"close":         {faults: PlatformFaults{Down: DownClose}, write: platform.ErrUnknownOutcome, object: platform.ErrUnknownOutcome, read: platform.ErrUnavailable},
		"hang":          {faults: PlatformFaults{Down: DownHang}, write: platform.ErrUnknownOutcome, object: platform.ErrUnknownOutcome, read: platform.ErrUnavailable},
		"rate limit":    {faults: PlatformFaults{RatePerSecond: 1e-9}, write: platform.ErrUnavailable, object: platform.ErrUnavailable, read: platform.ErrUnavailable},
		"drop response": {faults: PlatformFaults{DropResponse: 1}, write: platform.ErrUnknownOutcome, object: platform.ErrUnknownOutcome, read: platform.ErrUnavailable, written: true},
		"drop request":  {faults: PlatformFaults{DropRequest: 1}, write: platform.ErrUnknownOutcome, object: platform.ErrUnknownOutcome, read: platform.ErrUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, url, table, objects := startPlatform(t)
			if err := PutPlatformFaults(t.Context(), url, test.faults); err != nil {
				t.Fatal(err)
			}
			if test.faults.RatePerSecond > 0 {
				_, _, _ = table.Get(t.Context(), "drain") // uses up the burst of one request
			}
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			pair := []platform.Write{{Key: "b", Condition: platform.IfAbsent}, {Key: "c", Condition: platform.IfAbsent}}
			if test.faults.Down == DownHang {
				pair = pair[:1] // one hanging request uses up the deadline
			}
			if err := table.Transact(ctx, pair); !errors.Is(err, test.write) {
				t.Errorf("Transact: %v, want %v", err, test.write)
			}
			if test.faults.Down == DownHang {
				return
			}
			if err := table.Transact(ctx, []platform.Write{{Key: "a", Condition: platform.IfAbsent}}); !errors.Is(err, test.write) {
				t.Errorf("single write: %v, want %v", err, test.write)
			}
			if err := objects.Put(ctx, "o", []byte("1")); !errors.Is(err, test.object) {
				t.Errorf("Put: %v, want %v", err, test.object)
			}
			if _, _, err := table.Get(ctx, "a"); !errors.Is(err, test.read) {
				t.Errorf("Get: %v, want %v", err, test.read)
			}
			if _, err := objects.Get(ctx, "o", 10); !errors.Is(err, test.read) {
				t.Errorf("Get object: %v, want %v", err, test.read)
			}
			p.SetFaults(PlatformFaults{})
			for _, key := range []string{"a", "b", "c"} {
				if _, ok, err := table.Get(t.Context(), key); err != nil || ok != test.written {
					t.Errorf("row %s: written %v, %v; want %v", key, ok, err, test.written)
				}
			}
		})
	}
}

// Guards against a query that returns only DynamoDB's first page: the rows exceed the
// page limit of 1 MB.
func TestPlatformQueryPages(t *testing.T) {
	_, _, table, _ := startPlatform(t)
	const rows = 12
	for i := range rows {
		write := platform.Write{Key: fmt.Sprintf("member/0/%02d", i), Value: make([]byte, 300<<10)}
		if err := table.Transact(t.Context(), []platform.Write{write}); err != nil {
			t.Fatal(err)
		}
	}
	for limit, want := range map[int]int{rows + 1: rows, rows: rows, 5: 5, 0: 0} {
		got, err := table.Query(t.Context(), "member/0/", limit)
		if err != nil || len(got) != want || want > 0 && got[want-1].Key != fmt.Sprintf("member/0/%02d", want-1) {
			t.Errorf("limit %d: %d rows, %v; want %d", limit, len(got), err, want)
		}
	}
}

// Guards against a write that the SDK or the HTTP client retries below the adapter: after
// a dropped response the outcome must be unknown after one request, not a conflict after two.
func TestPlatformWriteIsSentOnce(t *testing.T) {
	p, _, table, _ := startPlatform(t)
	if err := table.Transact(t.Context(), []platform.Write{{Key: "warm"}}); err != nil { // leaves an idle connection, on which net/http may retry
		t.Fatal(err)
	}
	before := p.Stats().Writes
	p.SetFaults(PlatformFaults{DropResponses: 1})
	err := table.Transact(t.Context(), []platform.Write{{Key: "a", Condition: platform.IfAbsent}})
	if !errors.Is(err, platform.ErrUnknownOutcome) || p.Stats().Writes != before+1 {
		t.Errorf("%d writes reached the platform, error %v", p.Stats().Writes-before, err)
	}
}

// Guards against a ClientRequestToken that does not make a transaction idempotent. The
// adapter relies on it when a request is retried below it.
func TestPlatformTransactionToken(t *testing.T) {
	server := httptest.NewServer(NewPlatform(1))
	defer server.Close()
	send := func(token, key string) int {
		body := fmt.Appendf(nil, `{"ClientRequestToken":%q,"TransactItems":[{"Put":{"TableName":"t",
			"Item":{"pk":{"S":"/"},"sk":{"S":%q}},"ConditionExpression":"attribute_not_exists(pk)"}}]}`, token, key)
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("X-Amz-Target", targetPrefix+"TransactWriteItems")
		r.Header.Set("Authorization", "test")
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	for i, step := range []struct {
		token, key string
		want       int
	}{{"one", "a", 200}, {"one", "a", 200}, {"two", "a", 400}, {"one", "b", 400}} {
		if got := send(step.token, step.key); got != step.want {
			t.Errorf("step %d: status %d, want %d", i, got, step.want)
		}
	}
}
