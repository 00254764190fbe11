// Package rig2 has the stand-ins and the clients for the scripts of the second review. All of it is test code: the scripts run
// the compiled test binary. It uses the standard library only.
package rig2
