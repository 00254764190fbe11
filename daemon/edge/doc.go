// Package edge is the daemon of an entry VM on the users' platform. One process on each VM accepts callers' requests and
// sends them straight to the targets. One VM at a time also has the coordinator role and assigns keys to targets. The name of
// this role in the store, in duty and ring names and in the log is "keeper".
//
// Duties and what each owns:
//
//   - http-front decodes requests, puts one message into the ring of admission and waits for the reply.
//   - admission owns the admission core, the in-flight requests and the connections to targets.
//   - sender-N performs one exchange with a target at a time.
//   - watch-* follows one prefix of the store with long-polling calls, on the VMs that watch for their data centre; audit
//     reads whole prefixes to detect changes that the watches missed; mirror-client queries other VMs in place of the
//     store; owner-reader reads owners of keys from the store.
//   - knowledge owns the store cache: configuration, registrations, VMs, owners of keys.
//   - session holds this VM's leases, its entry in the list of VMs and, if it is elected, the coordinator role.
//   - keeper runs the keyspace cores of the coordinator; keeper-store reads and writes its owner tables, and order-N sends
//     its grant and release calls to targets.
//   - store-era tells the store cache when a response of the store shows that it has come back from an older snapshot.
//   - peer-receive and peer-send exchange load reports with the other VMs.
//   - http-ready answers the load balancer and serves metrics; settings-file reads the settings again; store-calls logs the
//     numbers of calls to the store.
//
// The neighbours of a VM are the other VMs of its data centre. A few VMs of each data centre watch the store and send digests
// of their copy to their neighbours, which query the sender's mirror service when a digest shows a change that they miss.
//
// When the coordinator fails, grants stay valid. Another VM takes the role once the lease in the store has expired, reads the
// owner tables from the store and renews the grants. When the store is unavailable, every VM continues with its cached state;
// the coordinator renews grants until its lease may have expired, and the grants stay valid for their time to live after that.
//
// When the store comes back from an older snapshot, leases and the coordinator role end on each VM with the first response that shows
// it. VMs register again, the VM that was the coordinator takes the role again at once and writes its owner tables over those of the
// snapshot, and any other one waits until all grants have expired; see docs/design/store-era.md.
package edge
