// Package probe sends requests through gateways of a running fleet and checks what callers get.
//
// It checks that each answer belongs to its request, counts outcomes and measures gaps in service, and audits the
// journals of the stand-in targets for requests that ran twice or were lost.
package probe
