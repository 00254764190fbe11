package operator_test

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/duty"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/identity"
	"sequoiasail.example/transport/identity/identitytest"
	"sequoiasail.example/types"

	"sequoiasail.example/cmd/internal/operator"
)

// startOpsServer serves the operators' pages of vm-1 over TLS and returns their address.
func startOpsServer(t *testing.T, a *identitytest.Authority) string {
	t.Helper()
	id := identity.New(identity.Options{
		VM: "vm-1", Settings: a.Issue(t, t.TempDir(), "vm-1", identitytest.ProcessUsages, time.Now().Add(time.Hour)),
	})
	g := duty.NewGroup()
	g.Add(id.Duty())
	if err := g.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	status := func() telemetry.Status { return telemetry.Status{VM: "vm-1", ConfigVersion: 3} }
	pages := httptest.NewUnstartedServer(telemetry.OpsHandler(telemetry.NewMetrics(), status))
	pages.Listener = id.AdminListener(pages.Listener)
	pages.Start()
	t.Cleanup(func() {
		pages.Close()
		_ = g.Stop(t.Context())
	})
	return pages.Listener.Addr().String()
}

// Guards against operators' pages that clients without a valid certificate can read, and against accepting an answer from
// a server whose certificate does not name the VM of the process.
func TestFleetOverTLS(t *testing.T) {
	a, other := identitytest.NewAuthority(t), identitytest.NewAuthority(t)
	address := startOpsServer(t, a)
	issue := func(by *identitytest.Authority) *identity.Source {
		dir := t.TempDir()
		files := by.Issue(t, dir, "jana", identitytest.OperatorUsages, time.Now().Add(time.Hour))
		identitytest.WriteFile(t, dir, "ca.pem", append(a.PEM, other.PEM...))
		return identity.New(identity.Options{Settings: files})
	}
	cases := []struct {
		name     string
		vm       types.VM
		identity *identity.Source
		answers  bool
	}{
		{"operator", "vm-1", issue(a), true},
		{"other authority", "vm-1", issue(other), false},
		{"other VM", "vm-2", issue(a), false},
		{"plain", "vm-1", nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fleet, err := operator.StartFleet(t.Context(), []operator.Process{
				{VM: c.vm, Role: "gateway", Address: address},
			}, operator.FleetOptions{Now: time.Now, Identity: c.identity})
			is.NoErr(err)
			reports := fleet.Query(t.Context())
			is.NoErr(fleet.Stop(t.Context()))
			is.Equal(reports[0].Err == nil, c.answers)
			is.Equal(reports[0].Status.ConfigVersion == 3, c.answers)
			is.True(c.answers || types.CodeOf(reports[0].Err) == types.CodePeerUnavailable)
		})
	}
}

// Guards against operators' pages that a client without a certificate can read.
func TestOpsServerRequiresCertificate(t *testing.T) {
	is := is.New(t)
	address := startOpsServer(t, identitytest.NewAuthority(t))
	anonymous := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	_, err := anonymous.Get("https://" + address + "/status")
	is.True(err != nil)
}
