// Package identity secures connections between the system's own processes, and those of operators to them, with
// mutually authenticated TLS 1.3.
//
// A Source owns one certificate, its key and the certificates of the certificate authorities (CAs) that all processes
// trust. One duty reloads the three files when a handshake needs them, at most once a second. Invalid or inconsistent
// files are reported, and the certificate in use is kept. A nil *Source means no TLS: its methods return their argument
// unchanged.
//
// Processes are addressed by IP address, so host names are not verified. A certificate is accepted when
//
//   - its chain ends at a trusted CA and every certificate in it is within its validity period,
//   - it has the extended key usage of its side: serverAuth for the server, clientAuth for the client,
//   - for a client that connects to a known VM, that VM's name is among the DNS names of the server's certificate,
//   - for a client of a peer listener, it also has serverAuth. Certificates of operators have clientAuth only, so they
//     give access to the admin listener and nothing else.
//
// TLS sessions are never resumed: each connection is verified in full.
package identity
