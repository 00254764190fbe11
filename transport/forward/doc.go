// Package forward sends one HTTP/1.1 request to a target and returns its whole answer.
//
// A request is written once. A failure says whether any byte of it may have reached the target. Answers are matched to
// requests by an identifying header, because a target may send an answer twice or late; an answer that belongs to another
// request is read and dropped. A connection whose state is not certain is closed.
//
// A Host owns the idle connections to one address in a ring; it is safe for concurrent use.
package forward
