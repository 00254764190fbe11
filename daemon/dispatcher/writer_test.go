package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/duty"
	"sequoiasail.example/ownership"
	"sequoiasail.example/ring"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// fakeStore holds one entry and returns the errors that the test has set.
type fakeStore struct {
	store.Store
	entry         store.Entry
	casErr        error
	getErr        error
	listErr       error
	leaseErr      error
	keepAliveErr  error
	revokedLeases []store.LeaseID
}

func (f *fakeStore) CAS(_ context.Context, w store.Write) (types.Revision, error) {
	// A write whose response is lost has taken effect.
	if f.casErr == nil || types.CodeOf(f.casErr) == types.CodeAnswerLost {
		f.entry = store.Entry{Key: w.Key, Value: w.Value, Revision: 7, WriteID: w.WriteID}
	}
	return 7, f.casErr
}

func (f *fakeStore) Get(context.Context, string) (store.Entry, error) { return f.entry, f.getErr }

func (f *fakeStore) List(context.Context, string) ([]store.Entry, types.Revision, error) {
	return nil, 9, f.listErr
}

func (f *fakeStore) GrantLease(context.Context, time.Duration) (store.LeaseID, error) {
	return 5, f.leaseErr
}

func (f *fakeStore) KeepAlive(context.Context, store.LeaseID) error { return f.keepAliveErr }

func (f *fakeStore) RevokeLease(_ context.Context, id store.LeaseID) error {
	f.revokedLeases = append(f.revokedLeases, id)
	return nil
}

func testWrite() ownership.Write {
	return ownership.Write{
		ID: ownership.WriteID{Peer: testSelf().Peer, Number: 3},
		Document: ownership.Document{
			Key:    ownership.LeasesKey("mapa"),
			Leases: &ownership.LeaseDocument{Header: ownership.Header{Epoch: 4}},
		},
	}
}

// Guards against a write that counts as not sent although it may have taken effect, and against one whose effect counts
// as unknown although the store refused it.
func TestStoreFaultsOfWrites(t *testing.T) {
	for _, c := range []struct {
		code types.Code
		want ownership.WriteStatus
	}{
		{"", ownership.WriteConfirmed},
		{types.CodeConflict, ownership.WriteConflict},
		{types.CodeStoreUnavailable, ownership.WriteNotSent},
		{types.CodeBadRequest, ownership.WriteNotSent},
		{types.CodeNotFound, ownership.WriteNotSent},
		{types.CodeAnswerLost, ownership.WriteUnknown},
		{types.CodeTimeout, ownership.WriteUnknown},
		{types.CodeCancelled, ownership.WriteUnknown},
		{types.CodeInternal, ownership.WriteUnknown},
	} {
		t.Run(string(c.code), func(t *testing.T) {
			is := is.New(t)
			f := &fakeStore{}
			if c.code != "" {
				f.casErr = types.NewFault(c.code, "test")
			}
			result := (&writer{store: f}).write(t.Context(), testWrite()).Write
			is.Equal(result.Status, c.want)
			is.Equal(result.ID, testWrite().ID)
		})
	}
}

// Guards against a write whose response was lost and whose effect stays unknown: the document that is read back names
// the write that produced it.
func TestLostStoreResponseIsReadBack(t *testing.T) {
	is := is.New(t)
	f := &fakeStore{casErr: types.NewFault(types.CodeAnswerLost, "test")}
	w := &writer{store: f, in: ring.New[ownership.Action](4), out: ring.New[leaseInput](4)}
	g := duty.NewGroup()
	g.Add(w.duty())
	is.NoErr(g.Start(t.Context()))
	write := testWrite()
	write.Document.Leases.Write = write.ID
	is.NoErr(w.in.TryPut(ownership.Action{Kind: ownership.ActWrite, Write: write}))
	lost, err := w.out.Get(t.Context())
	is.NoErr(err)
	is.Equal(lost.message.Write.Status, ownership.WriteUnknown)
	is.NoErr(w.in.TryPut(ownership.Action{Kind: ownership.ActReadBack, Write: write}))
	back, err := w.out.Get(t.Context())
	is.NoErr(err)
	is.NoErr(g.Stop(t.Context()))
	is.Equal(back.message.Kind, ownership.KindReadBack)
	is.True(!back.message.ReadBack.Failed)
	is.Equal(back.message.ReadBack.Document.Leases.Write, write.ID)
	is.Equal(back.message.ReadBack.Document.Store, types.Revision(7))
}

// Guards against treating a document as absent because the store could not be read.
func TestFailedReadBackDoesNotMeanAbsent(t *testing.T) {
	for code, failed := range map[types.Code]bool{types.CodeNotFound: false, types.CodeStoreUnavailable: true} {
		is := is.New(t)
		f := &fakeStore{getErr: types.NewFault(code, "test")}
		result := (&writer{store: f}).readBack(t.Context(), testWrite()).ReadBack
		is.Equal(result.Failed, failed)
		is.True(result.Document.Leases == nil)
	}
}

// Guards against a failed read that counts as proof that the store was reached.
func TestFailedRevisionReadDoesNotCount(t *testing.T) {
	is := is.New(t)
	in := (&revisionReader{store: &fakeStore{}}).read(t.Context())
	is.Equal(in.storeRead.revision, types.Revision(9))
	in = (&revisionReader{store: &fakeStore{listErr: types.NewFault(types.CodeTimeout, "test")}}).read(t.Context())
	is.True(in.storeRead == nil)
	is.Equal(in.message.Kind, ownership.KindStoreFailed)
}
