// Package identity secures connections between the system's own processes, and those of operators to them, with
// mutually authenticated TLS 1.3.
//
// A Source owns one certificate, its key and the certificates of the authority (CA) that all processes trust. One duty
// reads the three files again when a handshake asks for them, at most once a second. Files that do not fit together
// are reported and the certificate in use is kept. A nil *Source stands for no TLS: its methods return what they got.
//
// Verification. Processes are addressed by IP number, so host names say nothing. A certificate is accepted when
//
//   - its chain ends at the authority and every certificate in it is within its validity,
//   - it has the extended key usage of its side: serverAuth for the side that listens, clientAuth for the side that
//     connects,
//   - the side that connects to a known VM finds that VM's name among the DNS names of the certificate,
//   - the side that connects to a peer listener also has serverAuth. Certificates of operators have clientAuth only,
//     so they open the operators' pages and nothing else.
//
// The package decides nothing about messages. Sessions are never resumed: each connection is verified in full.
package identity
