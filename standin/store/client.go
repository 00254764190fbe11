package store

import (
	"context"
	"time"

	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// Client calls a stand-in store in the same process, so that front ends of other protocols can serve it. Its calls return
// the faults of store.Store or ErrNoAnswer.
type Client struct {
	server *Server
	name   string
}

var _ store.Store = (*Client)(nil)

// Client returns a client with the given name. Faults can apply to single clients by name.
func (s *Server) Client(name string) *Client { return &Client{server: s, name: name} }

// SetFaults replaces the current faults.
func (s *Server) SetFaults(ctx context.Context, f Faults) error {
	_, err := s.ask(ctx, message{kind: kindSetFaults, faults: f})
	return err
}

// Compact discards the history, so that watches from an earlier revision fail.
func (s *Server) Compact(ctx context.Context) error {
	_, err := s.ask(ctx, message{kind: kindCompact})
	return err
}

// Snapshot keeps a copy of the content, to which Restore goes back.
func (s *Server) Snapshot(ctx context.Context) error {
	_, err := s.ask(ctx, message{kind: kindSnapshot})
	return err
}

// Restore goes back to the content of the latest Snapshot, or to no content, and begins the next era. All later writes and leases
// are lost, and revisions and lease numbers are used again. Waiting watches end.
func (s *Server) Restore(ctx context.Context) error {
	_, err := s.ask(ctx, message{kind: kindRestore})
	return err
}

// Era returns the number of calls of Restore so far.
func (s *Server) Era() types.Era { return types.Era(s.state.era.Load()) }

// Era returns the era of the store.
func (c *Client) Era() types.Era { return c.server.Era() }

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	a, err := c.call(ctx, message{kind: kindGet, key: key})
	return a.entry, err
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, types.Revision, error) {
	a, err := c.call(ctx, message{kind: kindList, key: prefix})
	return a.entries, a.revision, err
}

// CAS implements store.Store.
func (c *Client) CAS(ctx context.Context, w store.Write) (types.Revision, error) {
	a, err := c.call(ctx, message{kind: kindCAS, write: w})
	return a.revision, err
}

// GrantLease implements store.Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	a, err := c.call(ctx, message{kind: kindLeaseGrant, ttl: ttl})
	return a.lease, err
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) error {
	_, err := c.call(ctx, message{kind: kindLeaseKeepAlive, lease: id})
	return err
}

// RevokeLease implements store.Store.
func (c *Client) RevokeLease(ctx context.Context, id store.LeaseID) error {
	_, err := c.call(ctx, message{kind: kindLeaseRevoke, lease: id})
	return err
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after types.Revision) ([]store.Event, types.Revision, error) {
	a, err := c.call(ctx, message{kind: kindWatch, key: prefix, after: after, wait: store.MaxWatchWait})
	return a.events, a.revision, err
}

func (c *Client) call(ctx context.Context, m message) (answer, error) {
	m.client = c.name
	return c.server.call(ctx, m)
}
