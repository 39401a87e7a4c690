// Package framing reads the responses that a server sends on an HTTP/1.1 connection, and tells
// whether another response begins within one of them.
//
// The length of a response tells where it ends, not whose bytes lie before the end. If a server
// breaks off a response while its connection stays open, or sends two responses at the same
// time, the bytes of the other one count as the rest of the first. Another response always begins
// with a status line and headers; a response is whole only if no such head lies between its
// own and its end. This holds for every framing: a length, chunks or the end of the
// connection.
//
// A body may hold such a head rightly, for example a page about HTTP. So a head counts only
// if it has one of the headers by which the servers of the deployment are known, or if the
// framing shows that it is no part of the body: the message that it begins reaches the end of
// the response or beyond, or the bytes behind the response don't begin a message. The line ends of a
// head tell it from a text.
//
// A response with a head or trailer that HTTP/1 doesn't allow is no response: a parser that accepts it may
// take other bytes for the body than the server has sent as such. Which status and fields are allowed is said here
// for all that read responses.
package framing
