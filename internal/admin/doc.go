// Package admin serves the admin address for operators (docs/operate/ops.md): HTTP/1.1 with one call per
// connection, for readiness, metrics, a manual drain and manual ejections. Package lifecycle starts it and
// passes it the relay. The package has no state except its connections, and translates the terms of the
// operators' page into those of the code.
//
//	GET  /ops/readiness                 200 while the process is ready to serve, else 503
//	GET  /ops/stats                     the metrics, in Prometheus's text format
//	POST /ops/tile-servers/down/ID      eject server ID; 404 if it was never listed
//	POST /ops/tile-servers/up/ID        readmit server ID
//	POST /ops/drain/start               migrate clients and reject new requests
//	POST /ops/drain/stop                serve clients again
package admin
