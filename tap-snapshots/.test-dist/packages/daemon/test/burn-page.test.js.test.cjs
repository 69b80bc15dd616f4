/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`.test-dist/packages/daemon/test/burn-page.test.js > TAP > the report as text > must match snapshot 1`] = `
Burn of service levels at 2026-06-04T11:59:30.000Z, from entry-1; NOT HEARD, so not counted: entry-2
service     team             objective           5m     1h     6h    3d    bad of total (3d)  budget left  alert
bp-writers  (all)            99.9% whole         20.00  20.00  3.33  2.00  2/1000             -100%        page
bp-writers  (all)            95% within 1000 ms  0.00   0.00   0.00  0.00  0/1000             100%         -
bp-writers  <b>marshals</b>  99.9% whole         20.00  20.00  3.33  2.00  2/1000             -100%        page
bp-writers  <b>marshals</b>  95% within 1000 ms  0.00   0.00   0.00  0.00  0/1000             100%         -

`

exports[`.test-dist/packages/daemon/test/burn-page.test.js > TAP > the report as text > must match snapshot 2`] = `
Burn of service levels at 2026-06-04T11:59:30.000Z, from entry-1
No request has ended yet.

`
