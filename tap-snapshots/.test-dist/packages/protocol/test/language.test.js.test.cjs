/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`.test-dist/packages/protocol/test/language.test.js > TAP > an error about a condition names the place of the condition > show hosts where role = agent and revision < soon 1`] = `
Object {
  "column": 35,
  "expected": Array [
    "revision < a number",
  ],
  "message": "\\"revision\\" is a number, \\"soon\\" is not.",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > an error about a condition names the place of the condition > show replicas where colour = red 1`] = `
Object {
  "column": 21,
  "expected": Array [
    "host",
    "zone",
    "fleet",
    "version",
    "ready",
    "serving",
    "adapters",
    "status",
  ],
  "message": "replicas have no field \\"colour\\".",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > an error about a condition names the place of the condition > show replicas where ready > true 1`] = `
Object {
  "column": 21,
  "expected": Array [
    "ready = true",
    "ready = false",
  ],
  "message": "\\"ready\\" is true or false.",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > an error about a condition names the place of the condition > show requests in flight where ageMs >= 10s 1`] = `
Object {
  "column": 31,
  "expected": Array [
    "ageMs >= a number",
  ],
  "message": "\\"ageMs\\" is a number, \\"10s\\" is not.",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > an error names the place and what was expected there > create model -x 1`] = `
Object {
  "column": 14,
  "expected": Array [
    "name (letters, digits, \\".\\", \\"-\\" or \\"_\\", at most 64 characters)",
  ],
  "message": "Expected name (letters, digits, \\".\\", \\"-\\" or \\"_\\", at most 64 characters) but \\"-\\" found.",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > an error names the place and what was expected there > drain 1`] = `
Object {
  "column": 6,
  "expected": Array [
    "space, then \\"host\\"",
  ],
  "message": "Expected space but end of input found.",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > an error names the place and what was expected there > drain hots h1 1`] = `
Object {
  "column": 7,
  "expected": Array [
    "\\"host\\"",
  ],
  "message": "Expected \\"host\\" but \\"h\\" found.",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > an error names the place and what was expected there > load adapter menu-tone on fleet f 1`] = `
Object {
  "column": 14,
  "expected": Array [
    "adapter (model:label/adapter)",
  ],
  "message": "Expected adapter (model:label/adapter) but \\"m\\" found.",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > an error names the place and what was expected there > load adapter pitch-desk:v2 on fleet f 1`] = `
Object {
  "column": 14,
  "expected": Array [
    "adapter (model:label/adapter)",
  ],
  "message": "Expected adapter (model:label/adapter) but \\"p\\" found.",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > an error names the place and what was expected there > load v2 on fleet f 1`] = `
Object {
  "column": 6,
  "expected": Array [
    "\\"adapter\\"",
    "version (model:label)",
  ],
  "message": "Expected \\"adapter\\" or version (model:label) but \\"v\\" found.",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > an error names the place and what was expected there > must match snapshot 1`] = `
Object {
  "column": 1,
  "expected": Array [
    "\\"create\\"",
    "\\"drain\\"",
    "\\"evacuate\\"",
    "\\"explain\\"",
    "\\"load\\"",
    "\\"move\\"",
    "\\"restore\\"",
    "\\"resume\\"",
    "\\"retire\\"",
    "\\"roll\\"",
    "\\"set\\"",
    "\\"show\\"",
    "\\"stop\\"",
    "\\"undrain\\"",
    "\\"unload\\"",
    "\\"withdraw\\"",
  ],
  "message": "Expected \\"create\\", \\"drain\\", \\"evacuate\\", \\"explain\\", \\"load\\", \\"move\\", \\"restore\\", \\"resume\\", \\"retire\\", \\"roll\\", \\"set\\", \\"show\\", \\"stop\\", \\"undrain\\", \\"unload\\", or \\"withdraw\\" but end of input found.",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > an error names the place and what was expected there > show replicas where zone ~ a 1`] = `
Object {
  "column": 26,
  "expected": Array [
    "=, !=, <, <=, > or >=",
  ],
  "message": "Expected =, !=, <, <=, > or >= but \\"~\\" found.",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > create adapter pitch-desk:v2/menu-tone from manifest sha256:0000000000000000000000000000000000000000000000000000000000000000 1`] = `
Object {
  "change": Object {
    "adapterId": "menu-tone",
    "manifestId": "sha256:0000000000000000000000000000000000000000000000000000000000000000",
    "type": "createAdapter",
    "versionId": "pitch-desk:v2",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > create fleet fair-mornings provider new for pitch-desk:v2 replicas 40 in tacoma-hall, salem-hall 1`] = `
Object {
  "change": Object {
    "fleetId": "fair-mornings",
    "provider": "new",
    "replicas": 40,
    "type": "createFleet",
    "versionId": "pitch-desk:v2",
    "zoneIds": Array [
      "tacoma-hall",
      "salem-hall",
    ],
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > create fleet wide provider new for pitch-desk:v2 replicas 9 in tacoma-hall at most 3 per zone capacity 4 1`] = `
Object {
  "change": Object {
    "fleetId": "wide",
    "maxPerZone": 3,
    "minCapacity": 4,
    "provider": "new",
    "replicas": 9,
    "type": "createFleet",
    "versionId": "pitch-desk:v2",
    "zoneIds": Array [
      "tacoma-hall",
    ],
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > create model pitch-desk 1`] = `
Object {
  "change": Object {
    "modelId": "pitch-desk",
    "type": "createModel",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > create team marshals key open-sesame share 3 1`] = `
Object {
  "change": Object {
    "keyDigest": "sha256:d7ecdf25eaf3deba0f2628771dbdd22d4138ab6cf38f91ed02a2ca0dec7c8ab7",
    "share": 3,
    "teamId": "marshals",
    "type": "createTeam",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > create version pitch-desk:v2 from manifest sha256:0000000000000000000000000000000000000000000000000000000000000000 1`] = `
Object {
  "change": Object {
    "manifestId": "sha256:0000000000000000000000000000000000000000000000000000000000000000",
    "type": "createVersion",
    "versionId": "pitch-desk:v2",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > drain host h17 1`] = `
Object {
  "change": Object {
    "hostId": "h17",
    "type": "drainHost",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > evacuate zone salem-hall 1`] = `
Object {
  "change": Object {
    "type": "evacuateZone",
    "zoneId": "salem-hall",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > load adapter pitch-desk:v2/menu-tone on fleet fair-mornings 1`] = `
Object {
  "change": Object {
    "adapterId": "menu-tone",
    "fleetId": "fair-mornings",
    "type": "loadAdapter",
    "versionId": "pitch-desk:v2",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > load pitch-desk:v2 on fleet fair-mornings 1`] = `
Object {
  "change": Object {
    "fleetId": "fair-mornings",
    "type": "load",
    "versionId": "pitch-desk:v2",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > move 20% of pitch-desk from fleet old to fleet fair-mornings 1`] = `
Object {
  "change": Object {
    "fromFleetId": "old",
    "modelId": "pitch-desk",
    "percent": 20,
    "toFleetId": "fair-mornings",
    "type": "moveTraffic",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > move 50% of pitch-desk from fleet old to fleet fair-mornings in steps of 10% 1`] = `
Object {
  "change": Object {
    "fromFleetId": "old",
    "holdMs": 60000,
    "maxErrorPercent": 1,
    "modelId": "pitch-desk",
    "percent": 50,
    "stepPercent": 10,
    "toFleetId": "fair-mornings",
    "type": "startRollout",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > move 50% of pitch-desk from fleet old to fleet fair-mornings in steps of 10% every 30 s stopping above 2.5% 1`] = `
Object {
  "change": Object {
    "fromFleetId": "old",
    "holdMs": 30000,
    "maxErrorPercent": 2.5,
    "modelId": "pitch-desk",
    "percent": 50,
    "stepPercent": 10,
    "toFleetId": "fair-mornings",
    "type": "startRollout",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > restore zone salem-hall 1`] = `
Object {
  "change": Object {
    "type": "restoreZone",
    "zoneId": "salem-hall",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > resume move of pitch-desk 1`] = `
Object {
  "change": Object {
    "modelId": "pitch-desk",
    "type": "resumeRollout",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > retire adapter pitch-desk:v2/menu-tone 1`] = `
Object {
  "change": Object {
    "adapterId": "menu-tone",
    "type": "retireAdapter",
    "versionId": "pitch-desk:v2",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > retire fleet old 1`] = `
Object {
  "change": Object {
    "fleetId": "old",
    "type": "retireFleet",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > retire version pitch-desk:v1 1`] = `
Object {
  "change": Object {
    "type": "retireVersion",
    "versionId": "pitch-desk:v1",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > roll back move of pitch-desk 1`] = `
Object {
  "change": Object {
    "modelId": "pitch-desk",
    "type": "rollBack",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > set objective for service bp-writers whole 99.9% first token 95% within 1000 ms 1`] = `
Object {
  "change": Object {
    "objective": Object {
      "answeredWholePercent": 99.9,
      "firstTokenMs": 1000,
      "firstTokenPercent": 95,
    },
    "serviceId": "bp-writers",
    "type": "setObjective",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > set replicas of fleet fair-mornings to 12 1`] = `
Object {
  "change": Object {
    "fleetId": "fair-mornings",
    "replicas": 12,
    "type": "setReplicas",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > show adapters where adapter = pitch-desk:v2/menu-tone 1`] = `
Object {
  "show": Object {
    "subject": "adapters",
    "type": "show",
    "where": Array [
      Object {
        "field": "adapter",
        "operator": "=",
        "value": "pitch-desk:v2/menu-tone",
      },
    ],
  },
  "type": "query",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > show hosts where revision < 812 1`] = `
Object {
  "show": Object {
    "subject": "hosts",
    "type": "show",
    "where": Array [
      Object {
        "field": "revision",
        "operator": "<",
        "value": "812",
      },
    ],
  },
  "type": "query",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > show moves where state = running 1`] = `
Object {
  "show": Object {
    "subject": "moves",
    "type": "show",
    "where": Array [
      Object {
        "field": "state",
        "operator": "=",
        "value": "running",
      },
    ],
  },
  "type": "query",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > show replicas where version = pitch-desk:v2 and zone = puget-a 1`] = `
Object {
  "show": Object {
    "subject": "replicas",
    "type": "show",
    "where": Array [
      Object {
        "field": "version",
        "operator": "=",
        "value": "pitch-desk:v2",
      },
      Object {
        "field": "zone",
        "operator": "=",
        "value": "puget-a",
      },
    ],
  },
  "type": "query",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > show requests in flight 1`] = `
Object {
  "show": Object {
    "subject": "requests",
    "type": "show",
    "where": Array [],
  },
  "type": "query",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > show zones where evacuated = true 1`] = `
Object {
  "show": Object {
    "subject": "zones",
    "type": "show",
    "where": Array [
      Object {
        "field": "evacuated",
        "operator": "=",
        "value": "true",
      },
    ],
  },
  "type": "query",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > stop move of pitch-desk 1`] = `
Object {
  "change": Object {
    "modelId": "pitch-desk",
    "type": "stopRollout",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > unload adapter pitch-desk:v2/menu-tone from fleet fair-mornings 1`] = `
Object {
  "change": Object {
    "adapterId": "menu-tone",
    "fleetId": "fair-mornings",
    "type": "unloadAdapter",
    "versionId": "pitch-desk:v2",
  },
  "type": "change",
}
`

exports[`.test-dist/packages/protocol/test/language.test.js > TAP > statements > withdraw adapter pitch-desk:v2/menu-tone 1`] = `
Object {
  "change": Object {
    "adapterId": "menu-tone",
    "type": "withdrawAdapter",
    "versionId": "pitch-desk:v2",
  },
  "type": "change",
}
`
