/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`.test-dist/test/sessions/drain.test.js > TAP > a host drain with streams running > must match snapshot 1`] = `
$ bitternpaddle run "create team marshals key marshals-key"
accepted at revision N

$ bitternpaddle run "create model pitch-desk"
accepted at revision N

$ bitternpaddle run "create version pitch-desk:v1 from manifest sha256:8fadee8f1b81e00d59fb31438ba4100fa2dc6c7f10298544cff90faa72f8916f"
accepted at revision N

$ bitternpaddle run "create fleet fair-mornings provider new for pitch-desk:v1 replicas 3"
accepted at revision N

$ bitternpaddle run --wait "load pitch-desk:v1 on fleet fair-mornings"
accepted at revision N

$ bitternpaddle run --wait "drain host h2"
accepted at revision N

(streams still run on h2)

$ bitternpaddle query "explain replica h2"
aspect         fine   finding
serving        false  no, or not for long: look at order, assignment
lease          true   renewed
configuration  true   at revision N, which is in force
order          false  draining by an operator's order; "undrain host h2" takes it back
assignment     false  no loaded fleet of provider new needs the host in salem-hall
transfer       true   pitch-desk:v1 ready, 16/16 chunks, N bytes from the origin, N from peers

(all 18 streams ended whole)

(30 callers: all got a whole answer)

$ bitternpaddle run --wait "undrain host h2"
accepted at revision N

$ bitternpaddle query "show replicas"
host  zone          fleet          version        ready  serving        adapters  status
h1    tacoma-hall   fair-mornings  pitch-desk:v1  true   pitch-desk:v1            serving
h2    salem-hall    fair-mornings  pitch-desk:v1  true   pitch-desk:v1            serving
h3    spokane-hall  fair-mornings  pitch-desk:v1  true   pitch-desk:v1            serving

$ bitternpaddle run "stop host h2"
accepted at revision N

$ bitternpaddle query "show replicas"
host  zone          fleet          version        ready  serving        adapters  status
h1    tacoma-hall   fair-mornings  pitch-desk:v1  true   pitch-desk:v1            serving
h3    spokane-hall  fair-mornings  pitch-desk:v1  true   pitch-desk:v1            serving

$ bitternpaddle query "explain replica h2"
aspect   fine   finding
serving  false  no host h2 has announced itself, or it was lost and has not come back

(12 callers: all got a whole answer)

`
