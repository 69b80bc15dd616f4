/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`.test-dist/test/sessions/adapters.test.js > TAP > an adapter from its creation to its retirement > must match snapshot 1`] = `
$ bitternpaddle run "create team marshals key marshals-key"
accepted at revision N

$ bitternpaddle run "create model pitch-desk"
accepted at revision N

$ bitternpaddle run "create version pitch-desk:v1 from manifest sha256:8fadee8f1b81e00d59fb31438ba4100fa2dc6c7f10298544cff90faa72f8916f"
accepted at revision N

$ bitternpaddle run "create fleet fair provider new for pitch-desk:v1 replicas 2"
accepted at revision N

$ bitternpaddle run --wait "load pitch-desk:v1 on fleet fair"
accepted at revision N

$ bitternpaddle run "create adapter pitch-desk:v9/menu-tone from manifest sha256:d89548e9d2ab456703063987c3f374c61ec63713774adebecf76a6536d80a4f6"
refused: no version pitch-desk:v9
(exit code 1)

$ bitternpaddle run "create adapter menu-tone from manifest sha256:d89548e9d2ab456703063987c3f374c61ec63713774adebecf76a6536d80a4f6"
create adapter menu-tone from manifest sha256:d89548e9d2ab456703063987c3f374c61ec63713774adebecf76a6536d80a4f6
               ^
expected adapter (model:label/adapter)
(exit code 2)

$ bitternpaddle run "create adapter pitch-desk:v1/menu-tone from manifest sha256:d89548e9d2ab456703063987c3f374c61ec63713774adebecf76a6536d80a4f6"
accepted at revision N

$ bitternpaddle run "create adapter pitch-desk:v1/menu-tone from manifest sha256:1ac091d3bc420e52036ecf1fede89d4e610ee212edd8163eb23fff5071bcfa64"
refused: adapter pitch-desk:v1/menu-tone exists already, from manifest sha256:d89548e9d2ab456703063987c3f374c61ec63713774adebecf76a6536d80a4f6
(exit code 1)

(a caller asks for pitch-desk/menu-tone: 503, no endpoint is ready)

(a caller asks for pitch-desk/other-tone: 404, nothing serves model pitch-desk/other-tone)

$ bitternpaddle run "load adapter pitch-desk:v1/other-tone on fleet fair"
refused: no adapter pitch-desk:v1/other-tone
(exit code 1)

$ bitternpaddle run "load adapter pitch-desk:v1/menu-tone on fleet none"
refused: no fleet none
(exit code 1)

$ bitternpaddle run --wait "load adapter pitch-desk:v1/menu-tone on fleet fair"
accepted at revision N

$ bitternpaddle query "show adapters"
adapter                  version        manifest                                                                 withdrawn  fleets  ready
pitch-desk:v1/menu-tone  pitch-desk:v1  sha256:d89548e9d2ab456703063987c3f374c61ec63713774adebecf76a6536d80a4f6  false      fair    2

$ bitternpaddle query "show replicas"
host  zone         fleet  version        ready  serving        adapters   status
h1    tacoma-hall  fair   pitch-desk:v1  true   pitch-desk:v1  menu-tone  serving
h2    salem-hall   fair   pitch-desk:v1  true   pitch-desk:v1  menu-tone  serving

$ bitternpaddle query "explain replica h1"
aspect         fine  finding
serving        true  yes
lease          true  renewed
configuration  true  at revision N, which is in force
order          true  may serve
assignment     true  pitch-desk:v1 for fleet fair, fencing number N
weights        true  the engine holds pitch-desk:v1
adapters       true  the engine holds menu-tone beside pitch-desk:v1
transfer       true  pitch-desk:v1 ready, 16/16 chunks, N bytes from the origin, N from peers
transfer       true  pitch-desk:v1/menu-tone ready, 4/4 chunks, N bytes from the origin, N from peers

(a caller asks for pitch-desk/menu-tone: 200, from 2 sets of weights)

(a caller asks for pitch-desk: 200, from 1 sets of weights)

$ bitternpaddle run "retire adapter pitch-desk:v1/menu-tone"
refused: fleet fair still carries adapter pitch-desk:v1/menu-tone; unload or withdraw it first
(exit code 1)

$ bitternpaddle run "create version pitch-desk:v2 from manifest sha256:f42d067adafc83b08a2fa0d7b74d5391c8e12c24fc9db577f28e81210441ad69"
accepted at revision N

$ bitternpaddle run "create adapter pitch-desk:v2/menu-tone from manifest sha256:1ac091d3bc420e52036ecf1fede89d4e610ee212edd8163eb23fff5071bcfa64"
accepted at revision N

$ bitternpaddle run --wait "load adapter pitch-desk:v2/menu-tone on fleet fair"
accepted at revision N
adapter pitch-desk:v2/menu-tone waits for pitch-desk:v2: fleet fair has pitch-desk:v1

$ bitternpaddle run --wait "load pitch-desk:v2 on fleet fair"
accepted at revision N

$ bitternpaddle query "show adapters"
adapter                  version        manifest                                                                 withdrawn  fleets  ready
pitch-desk:v1/menu-tone  pitch-desk:v1  sha256:d89548e9d2ab456703063987c3f374c61ec63713774adebecf76a6536d80a4f6  false      fair    0
pitch-desk:v2/menu-tone  pitch-desk:v2  sha256:1ac091d3bc420e52036ecf1fede89d4e610ee212edd8163eb23fff5071bcfa64  false      fair    2

(a caller asks for pitch-desk/menu-tone: 200, from 2 sets of weights)

$ bitternpaddle run "unload adapter pitch-desk:v2/menu-tone from fleet fair"
accepted at revision N

$ bitternpaddle run "unload adapter pitch-desk:v2/menu-tone from fleet fair"
refused: fleet fair does not carry adapter pitch-desk:v2/menu-tone
(exit code 1)

(a caller asks for pitch-desk/menu-tone: 503, no endpoint is ready)

$ bitternpaddle run "withdraw adapter pitch-desk:v1/menu-tone"
accepted at revision N

$ bitternpaddle run "load adapter pitch-desk:v1/menu-tone on fleet fair"
refused: adapter pitch-desk:v1/menu-tone is withdrawn
(exit code 1)

$ bitternpaddle run "retire adapter pitch-desk:v1/menu-tone"
accepted at revision N

$ bitternpaddle query "show adapters"
adapter                  version        manifest                                                                 withdrawn  fleets  ready
pitch-desk:v2/menu-tone  pitch-desk:v2  sha256:1ac091d3bc420e52036ecf1fede89d4e610ee212edd8163eb23fff5071bcfa64  false              0

`
