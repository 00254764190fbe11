// Package edge is the daemon of an entry VM on the users' platform. One process on each VM accepts callers' requests and
// sends them straight to the targets; one VM at a time is also the keeper, which assigns keys to targets.
//
// Duties and what each owns:
//
//   - http-front decodes requests, puts one message into the ring of admission and waits for the reply.
//   - admission owns the admission core, the requests in hand and the connections' hosts.
//   - sender-N performs one exchange with a target at a time.
//   - watch-* reads one prefix of the store with a waiting call, on the VMs that watch for their data centre; audit reads
//     it beside the watch; mirror-client asks other VMs in place of the store; owner-reader reads owners of keys.
//   - knowledge owns what the store has told: configuration, registrations, VMs, owners of keys.
//   - session keeps this VM's lease, its entry in the list of VMs and, if it is the keeper, that role.
//   - keeper owns the keyspace cores; keeper-store and order-N perform its calls.
//   - peer-receive and peer-send exchange load reports with the other VMs.
//   - http-ready answers the load balancer and serves metrics; settings-file reads the settings again.
//
// When the keeper is lost, grants go on holding, another VM takes the role after the lease of the store has ended, reads
// the table from the store and renews. When the store is lost, every VM goes on with what it knew; the keeper renews
// until its lease may have ended, and the grants hold for their time to live after that.
package edge
