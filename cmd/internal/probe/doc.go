// Package probe sends real requests through gateways and checks what callers get.
//
// It is the caller's side of the demo: it checks that each answer belongs to its request, counts outcomes and gaps,
// and audits the journals of the stand-in targets for requests that ran twice or were lost.
package probe
