// Package routing is described in docs/design.md, section 3.
package routing
