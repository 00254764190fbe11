// Package placement is described in docs/design.md, section 3.
package placement
