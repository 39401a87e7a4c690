package policysim

import (
	"net/http"
	"time"

	"corianderwood.example/corianderwood/pkg/balance"
	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/limit"
	"corianderwood.example/corianderwood/pkg/reason"
)

// Response is the response of a server to one attempt, or the final response of a call.
type Response struct {
	Status int
	Ran    reason.Ran
	// Spent means that a level further downstream has already applied its retry policy.
	Spent bool
	Load  balance.Load // of the server; not set in the final response of a failed call
}

// Server is one upstream together with the queue of the node beside it.
type Server struct {
	Endpoint balance.Endpoint
	// ServiceTime draws the time that the server itself works on a call, without the time
	// of the downstream call.
	ServiceTime func() time.Duration
	// Status returns the status code of a call that has run; nil means 200.
	Status func() int
	// Downstream, if set, receives a call from every call after the server's own work.
	// The call keeps its slot until the downstream response.
	Downstream *Client
	// Unresponsive servers send no responses, not even refusals.
	Unresponsive bool
	// LoadReport, if set, returns the load for responses in place of the actual load.
	LoadReport func() balance.Load

	// Arrived counts the received attempts. PeakLoad is the maximum of the calls that ran
	// or waited at the same time. PeakRunning is the maximum of those that ran; it is
	// counted independently of the queue, so that a fault of the queue shows.
	Arrived, PeakLoad, PeakRunning int

	loop             *Loop
	queue            *limit.Queue
	enforceDeadlines bool
	running          int
	jobs             map[*limit.Waiter]*job
}

// job is one call that waits or runs at a server.
type job struct {
	deadline time.Time
	reply    func(Response)
	stop     func() // ends the running work
	waiter   *limit.Waiter
}

// NewServer returns a server. Without limits it still runs at most e.Slots calls at the
// same time, but its queue is unbounded and ignores deadlines.
func NewServer(loop *Loop, e balance.Endpoint, limits bool) *Server {
	l := config.Limits{Slots: e.Slots, Queue: 2 * e.Slots}
	if !limits {
		l.Queue = 1 << 30
	}
	return &Server{
		Endpoint: e, loop: loop, queue: limit.NewQueue(l), enforceDeadlines: limits,
		jobs: make(map[*limit.Waiter]*job),
	}
}

// Serve queues or runs a call, or refuses it. It calls reply once, unless the call is
// canceled first or the server is unresponsive.
func (s *Server) Serve(deadline time.Time, reply func(Response)) (cancel func()) {
	s.Arrived++
	if s.Unresponsive {
		return func() {}
	}
	known := deadline
	if !s.enforceDeadlines {
		known = time.Time{}
	}
	w := s.queue.Offer(s.loop.Now(), known)
	j := &job{deadline: deadline, reply: reply, waiter: w}
	s.jobs[w] = j
	running, queued, _ := s.queue.Load()
	s.PeakLoad = max(s.PeakLoad, running+queued)
	s.startOrReject([]*limit.Waiter{w})
	return func() { s.cancel(j) }
}

// startOrReject starts the admitted calls and replies to the refused ones.
func (s *Server) startOrReject(waiters []*limit.Waiter) {
	for _, w := range waiters {
		j := s.jobs[w]
		switch {
		case w.Refusal() != "":
			delete(s.jobs, w)
			j.reply(Response{Status: http.StatusServiceUnavailable, Ran: reason.RanNo, Load: s.load()})
		case w.Admitted():
			s.run(j)
		}
	}
}

func (s *Server) run(j *job) {
	s.running++
	s.PeakRunning = max(s.PeakRunning, s.running)
	j.stop = s.loop.After(s.ServiceTime(), func() {
		if s.Downstream == nil {
			s.finish(j, Response{Status: s.status(), Ran: reason.RanYes})
			return
		}
		j.stop = s.Downstream.Call(j.deadline, func(r Response) {
			s.finish(j, Response{Status: r.Status, Ran: reason.RanYes, Spent: r.Spent})
		})
	})
}

func (s *Server) status() int {
	if s.Status == nil {
		return http.StatusOK
	}
	return s.Status()
}

func (s *Server) finish(j *job, r Response) {
	delete(s.jobs, j.waiter)
	s.running--
	s.startOrReject(s.queue.Finish(s.loop.Now(), j.waiter, false))
	r.Load = s.load()
	if !s.Unresponsive {
		j.reply(r)
	}
}

// cancel removes a waiting call or stops a running one.
func (s *Server) cancel(j *job) {
	if s.jobs[j.waiter] != j {
		return
	}
	delete(s.jobs, j.waiter)
	if s.queue.Cancel(j.waiter, reason.Canceled) {
		return
	}
	j.stop()
	s.running--
	s.startOrReject(s.queue.Finish(s.loop.Now(), j.waiter, true))
}

func (s *Server) load() balance.Load {
	if s.LoadReport != nil {
		return s.LoadReport()
	}
	running, queued, slots := s.queue.Load()
	return balance.Load{Running: running, Queued: queued, Slots: slots}
}
