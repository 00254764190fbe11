package crowdtest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"sequoiasail.example/config"
	"sequoiasail.example/duty"
	"sequoiasail.example/platform/standin"
	standinstore "sequoiasail.example/standin/store"
	standintarget "sequoiasail.example/standin/target"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// starts are the processes that clients reach.
var starts = map[string]start{"sail-edge": edge, "sail-gateway": gateway}

// gatewayCrowds are the crowds before a sail-gateway, fixed together with the bounds of all tests.
var gatewayCrowds = map[string]crowd{
	"short-header-lines":         {300, shortHeaderLines},
	"many-short-header-lines":    {1200, shortHeaderLines},
	"complete-header-lines":      {300, completeHeaderLines},
	"many-complete-header-lines": {1200, completeHeaderLines},
	"folded-header-lines":        {200, foldedHeaderLines},
	"endless-header":             {100, endlessHeader},
	"empty-lines":                {50, emptyLines},
	"unfinished-uploads":         {200, unfinishedUploads},
	"trailers":                   {300, trailers},
	"tiny-chunks":                {200, tinyChunks},
	"distinct-values":            {100, distinctValues},
	"distinct-orders":            {100, distinctOrders},
	"mixed":                      {300, mixed},
}

// Guards against clients that keep to no limit and make a gateway, or the dispatcher behind it, exceed its memory or end.
func TestGatewayStaysWithinTheMemory(t *testing.T) {
	for name, c := range gatewayCrowds {
		t.Run(name, func(t *testing.T) { staysWithinTheMemory(t, gateway, c) })
	}
}

// Guards against clients that hold connections open until a gateway has no descriptor left.
func TestIdleConnectionsStayWithinTheDescriptorsOfAGateway(t *testing.T) {
	for name, act := range idleCrowds {
		t.Run(name, func(t *testing.T) { staysWithinTheDescriptors(t, gateway, act) })
	}
}

// gateway starts a sail-gateway and the sail-dispatcher that it needs.
func gateway(t *testing.T, memoryMB float64, maxFDs int) *process {
	t.Helper()
	p, d := startPair(t, memoryMB, maxFDs)
	t.Cleanup(func() {
		d.checkAlive()
		if memoryMB > 0 {
			d.checkMemory(memoryMB)
		}
	})
	return p
}

// dispatcher starts a sail-dispatcher and the sail-gateway that takes its requests.
func dispatcher(t *testing.T, memoryMB float64, maxFDs int) *process {
	t.Helper()
	p, d := startPair(t, memoryMB, maxFDs)
	d.address = p.address
	return d
}

// startPair starts a sail-gateway and a sail-dispatcher with a store and a target for each service.
func startPair(t *testing.T, memoryMB float64, maxFDs int) (g, d *process) {
	t.Helper()
	group := duty.NewGroup()
	t.Cleanup(func() { _ = group.Abort(context.Background()) })
	storeAddress, err := standinstore.Start(t.Context(), group, standinstore.Options{Listen: "127.0.0.1:0"})
	check(t, err)
	configuration, err := config.Generate(startTargets(t, group))
	check(t, err)
	_, err = store.Connect(storeAddress, "operator", store.DefaultTimeout).CAS(t.Context(), store.Write{
		Key: config.KeyCurrent, Value: config.Canonical(configuration.WithVersion(1)), WriteID: "crowdtest",
	})
	check(t, err)
	run := runs.Add(1)
	ip := standin.LoopbackIP(run, 0)
	common := fmt.Sprintf(`"vm": "vm-%d", "dataCentre": "north", "storeAddress": %q, "memoryMB": %.0f, "descriptors": %d`,
		run, storeAddress, memoryMB, maxFDs)
	d = &process{t: t, readyURL: "http://" + ip + ":7002/healthz", peerAddress: ip + ":7001"}
	d.execute("sail-dispatcher", nil, "-settings", settingsFile(t, `{%s, "peerAddress": "%s:7001", "opsAddress": "%s:7002"}`, common, ip, ip))
	g = &process{t: t, address: ip + ":7003", readyURL: "http://" + ip + ":7004/healthz"}
	g.execute("sail-gateway", nil, "-settings", settingsFile(t, `{%s, "callerAddress": "%s:7003", "opsAddress": "%s:7004"}`, common, ip, ip))
	g.await("an answer", answerLimit, g.answersOne)
	return g, d
}

// settingsFile writes a settings file and returns its name.
func settingsFile(t *testing.T, format string, values ...any) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	check(t, os.WriteFile(file, fmt.Appendf(nil, format, values...), 0o600))
	return file
}

// startTargets starts a target for each service and returns the answers of the questionnaire about them.
func startTargets(t *testing.T, group *duty.Group) config.Answers {
	t.Helper()
	a := config.Answers{Team: "crowdtest"}
	a.SetDefaults()
	centre := config.DataCentreAnswer{Name: "north", Region: "north"}
	centre.SetDefaults()
	a.DataCentres = []config.DataCentreAnswer{centre}
	for _, name := range []types.Service{"small", "large"} {
		settings := standintarget.DefaultSettings()
		settings.Service, settings.Name, settings.WarmMs, settings.Keyed, settings.Slots = string(name), string(name)+"-1", 50, false, 64
		started, err := standintarget.Start(t.Context(), group, []standintarget.Settings{settings}, "")
		check(t, err)
		s := config.ServiceAnswer{Name: name}
		s.SetDefaults()
		s.ChecksGrants = true
		cold := int64(100)
		s.ColdStartMs = &cold
		s.Target = config.TargetDefaults{Slots: settings.Slots, Connections: settings.Connections}
		target := config.TargetAnswer{}
		target.SetDefaults()
		target.Name, target.DataCentre, target.Address = types.Target(settings.Name), "north", started[0].Address
		s.Targets = []config.TargetAnswer{target}
		for _, class := range []string{"lookup", "order"} {
			r := config.RequestAnswer{Class: class}
			r.SetDefaults()
			r.LateAfterMs, r.MayRunTwice = 6000, class == "lookup"
			s.Requests = append(s.Requests, r)
		}
		a.Services = append(a.Services, s)
	}
	return a
}
