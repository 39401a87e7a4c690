package netconn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

const part = "a part of a response"

// dialPeer returns a connection to a peer that takes nothing from it and ends as given.
func dialPeer(t *testing.T, end func(peer *net.TCPConn)) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	ended := make(chan struct{})
	t.Cleanup(func() { <-ended })
	go func() {
		defer close(ended)
		peer, err := l.Accept()
		if err != nil {
			return
		}
		defer peer.Close()
		end(peer.(*net.TCPConn))
	}()
	conn, err := Dial(t.Context(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// sendPart sends a part of a response and leaves time for it to arrive.
func sendPart(peer *net.TCPConn) {
	_, _ = peer.Write([]byte(part))
	time.Sleep(10 * time.Millisecond)
}

func reset(peer *net.TCPConn) {
	_ = peer.SetLinger(0)
	_ = peer.Close()
}

// writeUntilError writes until the connection fails.
func writeUntilError(conn net.Conn) error {
	for block := make([]byte, 1<<20); ; {
		if _, err := conn.Write(block); err != nil {
			return err
		}
	}
}

// Guards against a reset that ends a read as if the peer had sent all, because a write was told of it.
func TestResetThatWriteReportedEndsReads(t *testing.T) {
	conn := dialPeer(t, func(peer *net.TCPConn) { sendPart(peer); reset(peer) })
	if err := writeUntilError(conn); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the write ends with %v, want a reset", err)
	}
	for range 2 {
		if _, err := io.ReadAll(conn); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the read ends with %v after a reset", err)
		}
	}
}

// Guards against the same while a write is blocked: the read may end before the write has returned.
func TestResetDuringWriteEndsReads(t *testing.T) {
	const rounds = 50
	seemedWhole := 0
	for range rounds {
		conn := dialPeer(t, func(peer *net.TCPConn) { sendPart(peer); reset(peer) })
		written := make(chan error, 1)
		go func() { written <- writeUntilError(conn) }()
		if got, err := io.ReadAll(conn); err == nil {
			seemedWhole++
		} else if string(got) != part && len(got) > 0 {
			t.Errorf("read %q", got)
		}
		<-written
	}
	if seemedWhole > 0 {
		t.Errorf("%d of %d reads ended as if the peer had sent all", seemedWhole, rounds)
	}
}

// Guards against an end of the peer's stream that is taken for a reset, because the peer takes nothing any
// more or has reset the connection after the end.
func TestEndBeforeReset(t *testing.T) {
	conn := dialPeer(t, func(peer *net.TCPConn) {
		sendPart(peer)
		_ = peer.CloseWrite()
		time.Sleep(10 * time.Millisecond) // the end arrives before the reset
		reset(peer)
	})
	if err := writeUntilError(conn); err == nil {
		t.Fatal("the write does not fail")
	}
	if got, err := io.ReadAll(conn); string(got) != part || err != nil {
		t.Errorf("read %q, %v; want the part and its end", got, err)
	}
}

// Guards against an end that is reported only once a write in progress has ended.
func TestEndDuringWrite(t *testing.T) {
	release := make(chan struct{})
	conn := dialPeer(t, func(peer *net.TCPConn) {
		sendPart(peer)
		_ = peer.CloseWrite()
		<-release
	})
	written, read := make(chan error, 1), make(chan error, 1)
	go func() { written <- writeUntilError(conn) }()
	go func() {
		got, err := io.ReadAll(conn)
		if string(got) != part {
			t.Errorf("read %q, want the part", got)
		}
		read <- err
	}()
	select {
	case err := <-read:
		if err != nil {
			t.Errorf("the read ends with %v, want the end", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the read awaits the write")
	}
	close(release)
	<-written
}

// Guards against a deadline of a write that is taken for the end of the connection.
func TestDeadlineOfWriteIsNoReset(t *testing.T) {
	timedOut := make(chan struct{})
	conn := dialPeer(t, func(peer *net.TCPConn) {
		<-timedOut
		sendPart(peer)
		_ = peer.CloseWrite()
		_, _ = io.Copy(io.Discard, peer)
	})
	_ = conn.SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
	if err := writeUntilError(conn); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the write ends with %v, want its deadline", err)
	}
	close(timedOut)
	if got, err := io.ReadAll(conn); string(got) != part || err != nil {
		t.Errorf("read %q, %v; want the part and its end", got, err)
	}
}

// Guards against connections whose bytes change on the way, and whose state can't be read.
func TestExchangeOverDialedConnection(t *testing.T) {
	conn := dialPeer(t, func(peer *net.TCPConn) { _, _ = io.Copy(peer, peer) })
	sent := bytes.Repeat([]byte("x"), 100_000)
	go func() { _, _ = conn.Write(sent) }()
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, sent) {
		t.Errorf("the bytes differ: %v", err)
	}
	if !Established(conn) {
		t.Error("an open connection counts as ended")
	}
	_ = conn.Close()
	if Established(conn) {
		t.Error("a closed connection counts as open")
	}
}
