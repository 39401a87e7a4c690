// Package limit bounds the concurrent calls and the connections of one upstream. It has
// slots for running calls, a bounded first-in, first-out queue that sheds calls which
// cannot finish before their deadline, and a listener with a connection limit.
package limit
