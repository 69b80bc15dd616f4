/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`.test-dist/test/operator-session.test.js > TAP > a session from the first model to a drain > must match snapshot 1`] = `
> create model pitch-desk
200 accepted: 

> create model pitch-desk
409 refused: model pitch-desk exists already

> create version pitch-desk:v1 from manifest sha256:8fadee8f1b81e00d59fb31438ba4100fa2dc6c7f10298544cff90faa72f8916f
200 accepted: 

> create version pitch-desk:v2 from manifest sha256:f42d067adafc83b08a2fa0d7b74d5391c8e12c24fc9db577f28e81210441ad69
200 accepted: 

> create fleet fair-mornings provider new for pitch-desk:v1 replicas 3
200 accepted: 

> load pitch-desk:v1 on fleet afternoons
409 refused: no fleet afternoons

> load pitch-desk:v1 on fleet fair-mornings
200 accepted: 

> show replicas
host  zone          fleet          version        ready  serving        adapters  status
h1    tacoma-hall   fair-mornings  pitch-desk:v1  true   pitch-desk:v1            serving
h2    salem-hall    fair-mornings  pitch-desk:v1  true   pitch-desk:v1            serving
h3    spokane-hall  fair-mornings  pitch-desk:v1  true   pitch-desk:v1            serving

> load pitch-desk:v2 on fleet fair-mornings
200 accepted: 

> show replicas
host  zone          fleet          version        ready  serving        adapters  status
h1    tacoma-hall   fair-mornings  pitch-desk:v2  true   pitch-desk:v2            serving
h2    salem-hall    fair-mornings  pitch-desk:v2  true   pitch-desk:v2            serving
h3    spokane-hall  fair-mornings  pitch-desk:v2  true   pitch-desk:v2            serving

> show fleets
fleet          provider  version        replicas  zones  loaded  ready
fair-mornings  new       pitch-desk:v2  3                true    3

> drain host h2
200 accepted: 

> show replicas
host  zone          fleet          version        ready  serving        adapters  status
h1    tacoma-hall   fair-mornings  pitch-desk:v2  true   pitch-desk:v2            serving
h3    spokane-hall  fair-mornings  pitch-desk:v2  true   pitch-desk:v2            serving

> show models
model       traffic
pitch-desk  fair-mornings 100%

> show services
service     repeatable  whole  firstToken  withinMs
bp-writers  true        99.9   95          1000
ledger      false       99.9   95          1000

> show replicas where colour = red
400 invalid_request: replicas have no field "colour".

> drian host h2
400 invalid_request: Expected "create", "drain", "evacuate", "explain", "load", "move", "restore", "resume", "retire", "roll", "set", "show", "stop", "undrain", "unload", or "withdraw" but "d" found.

`
