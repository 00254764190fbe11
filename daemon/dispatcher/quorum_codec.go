package dispatcher

import (
	"sequoiasail.example/daemon/process"
	"sequoiasail.example/ownership"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/transport/store"
)

func encodePeer(p ownership.Peer) peer.VouchRun {
	return peer.VouchRun{VM: p.VM, Incarnation: p.Incarnation}
}

func decodePeer(r peer.VouchRun) ownership.Peer {
	return ownership.Peer{VM: r.VM, Incarnation: r.Incarnation}
}

func encodePeers(in []ownership.Peer) []peer.VouchRun {
	out := make([]peer.VouchRun, len(in))
	for i, p := range in {
		out[i] = encodePeer(p)
	}
	return out
}

func decodePeers(in []peer.VouchRun) []ownership.Peer {
	out := make([]ownership.Peer, len(in))
	for i, r := range in {
		out[i] = decodePeer(r)
	}
	return out
}

func encodeVersions(in []ownership.DocumentVersion) []peer.VouchVersion {
	out := make([]peer.VouchVersion, len(in))
	for i, v := range in {
		out[i] = peer.VouchVersion{Key: v.Key.String(), Epoch: v.Epoch}
	}
	return out
}

func decodeVersions(in []peer.VouchVersion) ([]ownership.DocumentVersion, error) {
	out := make([]ownership.DocumentVersion, len(in))
	for i, v := range in {
		key, err := ownership.ParseDocumentKey(v.Key)
		if err != nil {
			return nil, err
		}
		out[i] = ownership.DocumentVersion{Key: key, Epoch: v.Epoch}
	}
	return out, nil
}

func encodeDocuments(in []ownership.Document) ([]peer.VouchDocument, error) {
	out := make([]peer.VouchDocument, len(in))
	for i, d := range in {
		value, err := process.EncodeDocument(d)
		if err != nil {
			return nil, err
		}
		out[i] = peer.VouchDocument{Key: d.Key.String(), Store: d.Store, Value: value}
	}
	return out, nil
}

func decodeDocuments(in []peer.VouchDocument) ([]ownership.Document, error) {
	out := make([]ownership.Document, 0, len(in))
	for _, d := range in {
		event := store.Event{Entry: store.Entry{Key: d.Key, Value: d.Value, Revision: d.Store}}
		document, ok, err := process.DecodeDocument(event)
		if err != nil {
			return nil, err
		}
		if ok {
			out = append(out, document)
		}
	}
	return out, nil
}

func encodeConfirmRequest(request ownership.ConfirmationRequest) *peer.ConfirmRequest {
	return &peer.ConfirmRequest{
		Group:    ownership.GroupDocumentKey(request.Group).String(),
		Asker:    encodePeer(request.Asker),
		AskedAt:  request.AskedAt,
		Member:   encodePeer(request.Member),
		Versions: encodeVersions(request.Versions),
		Silent:   request.Silent,
	}
}

func decodeConfirmRequest(r *peer.ConfirmRequest) (ownership.ConfirmationRequest, error) {
	group, err := ownership.ParseDocumentKey(r.Group)
	if err != nil {
		return ownership.ConfirmationRequest{}, err
	}
	versions, err := decodeVersions(r.Versions)
	if err != nil {
		return ownership.ConfirmationRequest{}, err
	}
	return ownership.ConfirmationRequest{
		Group:    group.Group,
		Asker:    decodePeer(r.Asker),
		AskedAt:  r.AskedAt,
		Member:   decodePeer(r.Member),
		Versions: versions,
		Silent:   r.Silent,
	}, nil
}

func encodeConfirmAnswer(reply ownership.ConfirmationReply) (peer.ConfirmAnswer, error) {
	documents, err := encodeDocuments(reply.Documents)
	if err != nil {
		return peer.ConfirmAnswer{}, err
	}
	return peer.ConfirmAnswer{
		Status:    uint8(reply.Status),
		Member:    encodePeer(reply.Member),
		Versions:  encodeVersions(reply.Versions),
		Documents: documents,
		Lost:      encodePeers(reply.Lost),
		Silent:    reply.Silent,
	}, nil
}

// decodeConfirmAnswer decodes the reply to request, and fills in the fields that are not sent back.
func decodeConfirmAnswer(request ownership.ConfirmationRequest, a *peer.ConfirmAnswer) (ownership.ConfirmationReply, error) {
	versions, err := decodeVersions(a.Versions)
	if err != nil {
		return ownership.ConfirmationReply{}, err
	}
	documents, err := decodeDocuments(a.Documents)
	if err != nil {
		return ownership.ConfirmationReply{}, err
	}
	return ownership.ConfirmationReply{
		Ticket:    request.Ticket,
		Group:     request.Group,
		Asker:     request.Asker,
		AskedAt:   request.AskedAt,
		Member:    decodePeer(a.Member),
		Status:    ownership.ConfirmationStatus(a.Status),
		Versions:  versions,
		Documents: documents,
		Lost:      decodePeers(a.Lost),
		Silent:    a.Silent,
	}, nil
}
