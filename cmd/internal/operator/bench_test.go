package operator_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"sequoiasail.example/telemetry"
	"sequoiasail.example/types"

	"sequoiasail.example/cmd/internal/operator"
)

// BenchmarkQuery queries 860 processes: a gateway and a dispatcher on each of 430 VMs, the size that the system is designed
// for. One process does not answer.
func BenchmarkQuery(b *testing.B) {
	status := telemetry.Status{VM: "vm", Role: "dispatcher", ConfigVersion: 3, Queues: make([]telemetry.QueueStatus, 10)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status)
	}))
	defer server.Close()
	var processes []operator.Process
	for i := range 860 {
		processes = append(processes, operator.Process{
			VM: types.VM("vm-" + strconv.Itoa(i)), Role: "dispatcher", Address: strings.TrimPrefix(server.URL, "http://"),
		})
	}
	processes[7].Address = "127.0.0.1:1"
	fleet, err := operator.StartFleet(b.Context(), processes, operator.FleetOptions{Timeout: 2 * time.Second, Now: time.Now})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		for _, r := range fleet.Query(b.Context()) {
			if r.Err != nil && r.Process.VM != "vm-7" {
				b.Fatal(r.Process.Name(), r.Err)
			}
		}
	}
	if err := fleet.Stop(b.Context()); err != nil {
		b.Fatal(err)
	}
}
