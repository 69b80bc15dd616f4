/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`.test-dist/test/sessions/bad-rollout.test.js > TAP > a bad rollout stopped and rolled back > must match snapshot 1`] = `
$ bitternpaddle run "create team marshals key marshals-key"
accepted at revision N

$ bitternpaddle run "create model pitch-desk"
accepted at revision N

$ bitternpaddle run "create version pitch-desk:v1 from manifest sha256:8fadee8f1b81e00d59fb31438ba4100fa2dc6c7f10298544cff90faa72f8916f"
accepted at revision N

$ bitternpaddle run "create fleet stable provider new for pitch-desk:v1 replicas 2"
accepted at revision N

$ bitternpaddle run --wait "load pitch-desk:v1 on fleet stable"
accepted at revision N

$ bitternpaddle run "create version pitch-desk:v2 from manifest sha256:f42d067adafc83b08a2fa0d7b74d5391c8e12c24fc9db577f28e81210441ad69"
accepted at revision N

$ bitternpaddle run "create fleet canary provider old for pitch-desk:v1 replicas 2"
accepted at revision N

$ bitternpaddle run --wait "load pitch-desk:v1 on fleet canary"
accepted at revision N

$ bitternpaddle run --wait "move 50% of pitch-desk from fleet stable to fleet canary"
accepted at revision N

$ bitternpaddle run --wait "load pitch-desk:v2 on fleet canary"
accepted at revision N

$ bitternpaddle query "show replicas"
host  zone          fleet   version        ready  serving        adapters  status
h1    tacoma-hall   canary  pitch-desk:v2  true   pitch-desk:v2            serving
h2    salem-hall    canary  pitch-desk:v2  true   pitch-desk:v2            serving
h3    spokane-hall  stable  pitch-desk:v1  true   pitch-desk:v1            serving
h4    tacoma-hall   stable  pitch-desk:v1  true   pitch-desk:v1            serving

(the second version breaks off after two tokens)

(40 callers: some got a whole answer)

$ bitternpaddle run --wait "move 50% of pitch-desk from fleet canary to fleet stable"
accepted at revision N

(20 callers: all got a whole answer)

$ bitternpaddle run "withdraw version pitch-desk:v1"
refused: fleet stable serves pitch-desk:v1 and has no earlier version to return to
(exit code 1)

$ bitternpaddle run --wait "withdraw version pitch-desk:v2"
accepted at revision N

$ bitternpaddle query "show versions"
version        manifest                                                                 withdrawn
pitch-desk:v1  sha256:8fadee8f1b81e00d59fb31438ba4100fa2dc6c7f10298544cff90faa72f8916f  false
pitch-desk:v2  sha256:f42d067adafc83b08a2fa0d7b74d5391c8e12c24fc9db577f28e81210441ad69  true

$ bitternpaddle query "show fleets"
fleet   provider  version        replicas  zones  loaded  ready
canary  old       pitch-desk:v1  2                true    2
stable  new       pitch-desk:v1  2                true    2

$ bitternpaddle run "load pitch-desk:v2 on fleet stable"
refused: version pitch-desk:v2 is withdrawn
(exit code 1)

(20 callers: all got a whole answer)

`
