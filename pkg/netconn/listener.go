package netconn

import (
	"errors"
	"net"
	"time"
)

const (
	acceptBackoffMin = 5 * time.Millisecond
	acceptBackoffMax = time.Second
)

// retryingListener is a listener whose Accept fails only once it is closed. Its state is
// owned by the goroutine that accepts.
type retryingListener struct {
	net.Listener
	failed  func(error)
	backoff time.Duration
}

// RetryAccept returns a listener whose Accept fails only once it is closed. Any other error
// concerns one connection, or a resource such as file descriptors that other connections
// will free: it is passed to failed, and Accept retries with exponential backoff. Accept
// must not be called concurrently.
func RetryAccept(l net.Listener, failed func(error)) net.Listener {
	return &retryingListener{Listener: l, failed: failed, backoff: acceptBackoffMin}
}

func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			l.backoff = acceptBackoffMin
			return conn, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.failed(err)
		time.Sleep(l.backoff)
		l.backoff = min(2*l.backoff, acceptBackoffMax)
	}
}
