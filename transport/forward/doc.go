// Package forward sends single HTTP/1.1 requests to a target and returns complete responses.
//
// A request is written at most once. An error tells whether any byte of it may have reached the target. Responses are
// matched to requests by an ID header, because a target may send a response twice or late. A response that does not
// have the ID of the request is read and dropped; the exchange then waits for the response that has it. A connection is
// closed when its state is uncertain.
//
// A Host keeps the idle connections to one address in a ring. It is safe for concurrent use.
package forward
