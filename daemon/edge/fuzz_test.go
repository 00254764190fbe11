package edge

import (
	"bytes"
	"encoding/gob"
	"testing"

	"sequoiasail.example/platform"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// Guards against panics on malformed entries of VMs, and against an entry that names no VM to talk to being accepted.
func FuzzVMEntry(f *testing.F) {
	for _, value := range oddVMEntries() {
		f.Add([]byte(value))
	}
	f.Add(encodeJSON(vmEntry{VM: "vm-2", DataCentre: "north", Cores: 1, PeerAddress: "127.0.0.2:7540", MirrorAddress: "127.0.0.2:8544"}))
	f.Fuzz(func(t *testing.T, value []byte) {
		m, err := decodeVMEntry("vm-2", value)
		if err != nil {
			if len(err.Error()) > maxLoggedText {
				t.Fatalf("fault of %d bytes", len(err.Error()))
			}
			return
		}
		_, peerOK := platform.ParseAddress(m.PeerAddress)
		_, mirrorOK := platform.ParseAddress(m.MirrorAddress)
		if m.VM != "vm-2" || m.DataCentre == "" || !(m.Cores >= 0 && m.Cores <= maxCores) || !peerOK || !mirrorOK {
			t.Fatalf("accepted %+v", m)
		}
		// The entry is encoded again for other VMs.
		if _, err := decodeVMEntry("vm-2", encodeJSON(m)); err != nil {
			t.Fatalf("%+v becomes %v", m, err)
		}
	})
}

// Guards against panics on malformed coordinator entries, and against one that names nobody being accepted.
func FuzzCoordinatorEntry(f *testing.F) {
	for _, value := range oddCoordinatorEntries() {
		f.Add([]byte(value))
	}
	f.Add(encodeJSON(coordinatorEntry{VM: "vm-2", Incarnation: 5}))
	f.Fuzz(func(t *testing.T, value []byte) {
		if c, err := decodeCoordinatorEntry(value); err == nil && !platform.IsName(string(c.VM)) {
			t.Fatalf("accepted %+v", c)
		}
	})
}

// Guards against panics and unbounded memory on the bytes of a mirror answer, and on the entries in it: one with odd bytes must
// leave the good target of the list in use.
func FuzzMirrorAnswer(f *testing.F) {
	var answer bytes.Buffer
	if err := gob.NewEncoder(&answer).Encode(MirrorAnswer{Newer: true, Revision: 7, Entries: []store.Entry{goodRegistration("i-1", 7)}}); err != nil {
		f.Fatal(err)
	}
	f.Add(answer.Bytes(), "servers/i-9")
	f.Add([]byte{0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, "servers/\n")
	f.Add([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"), "sail/vm/vm-9")
	for name, value := range oddEntries("127.0.0.9:80") {
		f.Add([]byte(value), name)
	}
	for _, value := range oddDatagrams(f) {
		f.Add(value, "sail-keys/maps")
	}
	f.Fuzz(func(t *testing.T, value []byte, key string) {
		var decoded MirrorAnswer
		if gob.NewDecoder(bytes.NewReader(value)).Decode(&decoded) != nil {
			decoded.Entries = nil
		}
		sc := newRegistryCache(telemetry.Now())
		odd := append(decoded.Entries, store.Entry{Key: key, Value: value, Revision: 8})
		for _, prefix := range append(watchedPrefixes, ownerPrefix) {
			u := update{prefix: prefix, snapshot: true, mirrored: true, revision: 9, entries: odd, graceLeft: decoded.GraceLeft}
			if prefix == platform.TargetPrefix {
				u.entries = append(u.entries, goodRegistration("i-good", 8))
			}
			sc.apply(t.Context(), u)
			sc.admission.Drain(func(any) {})
			sc.coordinator.Drain(func(any) {})
			sc.session.Drain(func(coordinatorState) {})
		}
		for _, l := range sc.registry.List() {
			if l.Target == "i-good" {
				return
			}
		}
		for _, e := range odd {
			if e.Key == "servers/i-good" {
				return
			}
		}
		r, err := platform.DecodeRegistration(types.Target("i-9"), value)
		if err == nil && r.Address == "127.0.0.9:80" {
			return // a newer target at the same address
		}
		t.Fatal("the good target is not listed")
	})
}
