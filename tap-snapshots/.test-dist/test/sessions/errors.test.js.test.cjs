/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`.test-dist/test/sessions/errors.test.js > TAP > every kind of error > must match snapshot 1`] = `
$ bitternpaddle run "create team marshals key marshals-key"
accepted at revision N

$ bitternpaddle run "create model pitch-desk"
accepted at revision N

$ bitternpaddle run "create version pitch-desk:v1 from manifest sha256:8fadee8f1b81e00d59fb31438ba4100fa2dc6c7f10298544cff90faa72f8916f"
accepted at revision N

$ bitternpaddle run "create fleet fair-mornings provider new for pitch-desk:v1 replicas 1"
accepted at revision N

$ bitternpaddle run --wait "load pitch-desk:v1 on fleet fair-mornings"
accepted at revision N

$ bitternpaddle run "drian host h1"
drian host h1
^
expected "create", "drain", "evacuate", "explain", "load", "move", "restore", "resume", "retire", "roll", "set", "show", "stop", "undrain", "unload", "withdraw"
(exit code 2)

$ bitternpaddle run "drain hots h1"
drain hots h1
      ^
expected "host"
(exit code 2)

$ bitternpaddle run "create model -x"
create model -x
             ^
expected name (letters, digits, ".", "-" or "_", at most 64 characters)
(exit code 2)

$ bitternpaddle run "load v2 on fleet f"
load v2 on fleet f
     ^
expected "adapter", version (model:label)
(exit code 2)

$ bitternpaddle run "create version pitch-desk:v2 from manifest md5:1"
create version pitch-desk:v2 from manifest md5:1
                                           ^
expected manifest digest (sha256: and 64 hexadecimal digits)
(exit code 2)

$ bitternpaddle run "create fleet f provider new for pitch-desk:v1 replicas many"
create fleet f provider new for pitch-desk:v1 replicas many
                                                       ^
expected whole number
(exit code 2)

$ bitternpaddle run "move half of pitch-desk from fleet a to fleet b"
move half of pitch-desk from fleet a to fleet b
     ^
expected percentage up to 100%
(exit code 2)

$ bitternpaddle run "drain host"
drain host
          ^
expected space, then name (letters, digits, ".", "-" or "_", at most 64 characters)
(exit code 2)

$ bitternpaddle run "drain host h1 now"
drain host h1 now
              ^
Expected end of input but "n" found.
(exit code 2)

$ bitternpaddle run "create version pitch-desk:v2 from manifest sha256:1234"
create version pitch-desk:v2 from manifest sha256:1234
                                           ^
expected manifest digest (sha256: and 64 hexadecimal digits)
(exit code 2)

$ bitternpaddle run "move 120% of pitch-desk from fleet a to fleet b"
move 120% of pitch-desk from fleet a to fleet b
     ^
expected percentage up to 100%
(exit code 2)

$ bitternpaddle run "create model mmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmm"
create model mmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmm
             ^
expected name (letters, digits, ".", "-" or "_", at most 64 characters)
(exit code 2)

$ bitternpaddle run "show replicas where colour = red"
show replicas where colour = red
                    ^
expected host, zone, fleet, version, ready, serving, adapters, status
(exit code 2)

$ bitternpaddle run "show hosts where revision < soon"
show hosts where revision < soon
                 ^
expected revision < a number
(exit code 2)

$ bitternpaddle run "show replicas where ready > true"
show replicas where ready > true
                    ^
expected ready = true, ready = false
(exit code 2)

$ bitternpaddle run "show models where"
show models where
                 ^
expected space, then field name
(exit code 2)

$ bitternpaddle run "create model pitch-desk"
refused: model pitch-desk exists already
(exit code 1)

$ bitternpaddle run "create version night-desk:v1 from manifest sha256:0000000000000000000000000000000000000000000000000000000000000000"
refused: no model night-desk
(exit code 1)

$ bitternpaddle run "create fleet f provider new for pitch-desk:v9 replicas 1"
refused: no version pitch-desk:v9
(exit code 1)

$ bitternpaddle run "load pitch-desk:v9 on fleet fair-mornings"
refused: no version pitch-desk:v9
(exit code 1)

$ bitternpaddle run "load pitch-desk:v1 on fleet afternoons"
refused: no fleet afternoons
(exit code 1)

$ bitternpaddle run "withdraw version pitch-desk:v1"
refused: fleet fair-mornings serves pitch-desk:v1 and has no earlier version to return to
(exit code 1)

$ bitternpaddle run "drain host h99"
refused: no host h99
(exit code 1)

$ bitternpaddle run "move 10% of night-desk from fleet a to fleet b"
refused: no model night-desk
(exit code 1)

$ bitternpaddle run "move 10% of pitch-desk from fleet afternoons to fleet fair-mornings"
refused: fleet afternoons has 0% of pitch-desk, not 10%
(exit code 1)

$ bitternpaddle run "set objective for service none whole 99% first token 95% within 900 ms"
refused: no service none
(exit code 1)

$ bitternpaddle run "set objective for service bp-writers whole 100% first token 95% within 900 ms"
set objective for service bp-writers whole 100% first token 95% within 900 ms
                                           ^
expected percentage from 1% to 99.999%
(exit code 2)

$ bitternpaddle run "explain request nobody-knows"
not_found: request nobody-knows is not, or no longer, known to any entry
(exit code 1)

$ bitternpaddle run "explain replica h99"
aspect   fine   finding
serving  false  no host h99 has announced itself, or it was lost and has not come back

$ bitternpaddle run xxx...
invalid_request: ✖ expected at most 4096 characters
  → at line
(exit code 2)

$ bitternpaddle query "drain host h1"
query asks and changes nothing: expected show or explain; orders go through run
(exit code 2)

$ bitternpaddle run --if-revision old "drain host h1"
--if-revision is "old": expected a whole number
(exit code 2)

$ bitternpaddle run --if-revision 1 "drain host h1"
refused: expected revision N, it is N
(exit code 1)

$ bitternpaddle run --wait --timeout-seconds long "drain host h1"
--timeout-seconds is "long": expected a whole number
(exit code 2)

$ bitternpaddle query "show hosts" --output xml
--output is "xml": expected table or json
(exit code 2)

$ bitternpaddle report burn --output pdf
--output is "pdf": expected text or json or html
(exit code 2)

$ bitternpaddle script no-such-file.txt
no-such-file.txt cannot be read: ENOENT: no such file or directory, open 'no-such-file.txt'
(exit code 2)

(replay no-such-file.jsonl
no-such-file.jsonl cannot be replayed: ENOENT: no such file or directory, open 'no-such-file.jsonl'
exit code 2)

(query show hosts --token wrong-token --address IP:PORT
unauthorized: an administration token is needed
exit code 1)

(run drain host h1 --token reading-token --address IP:PORT
unauthorized: this needs a token for "operate", this one is for "read"
exit code 1)

(query show hosts --token any-token --address localhost
--address is "localhost": expected ip:port
exit code 2)

(query show hosts --token any-token --address 127.0.0.1:1
127.0.0.1:1 cannot be reached: connect ECONNREFUSED 127.0.0.1:1
exit code 3)

(query show hosts
--token (BITTERNPADDLE_TOKEN) is needed: expected an administration token
exit code 2)

(two of three control hosts are lost)

$ bitternpaddle query "show models"
unavailable: no leader is in contact with a quorum
(exit code 3)

$ bitternpaddle run "create model night-desk"
unavailable: no leader is in contact with a quorum
(exit code 3)

`
