// The operators' language. Statements begin with a verb; every rule has a name that errors can show.
Line = _ statement:Statement _ { return statement; }

Statement = Create / SetObjective / SetReplicas / Load / Unload / Withdraw / Retire / Move / RolloutOrder / HostOrder / ZoneOrder / Show / Explain

Create
  = "create" __ "model" __ modelId:Name { return {type: 'createModel', modelId}; }
  / "create" __ "version" __ versionId:Version __ "from" __ "manifest" __ manifestId:Digest { return {type: 'createVersion', versionId, manifestId}; }
  / "create" __ "adapter" __ adapter:Adapter __ "from" __ "manifest" __ manifestId:Digest { return {type: 'createAdapter', ...adapter, manifestId}; }
  / "create" __ "fleet" __ fleetId:Name __ "provider" __ provider:Name __ "for" __ versionId:Version __ "replicas" __ replicas:Integer zoneIds:InZones? maxPerZone:AtMost? minCapacity:AtLeast? { return {type: 'createFleet', fleetId, provider, versionId, replicas, zoneIds: zoneIds ?? [], ...(maxPerZone && {maxPerZone}), ...(minCapacity && {minCapacity})}; }
  / "create" __ "service" __ serviceId:Name __ kind:Repeatability { return {type: 'createService', serviceId, repeatable: kind === 'repeatable'}; }
  / "create" __ "team" __ teamId:Name __ "key" __ key:Name share:Share? { return {type: 'createTeam', teamId, key, share: share ?? 1}; }

InZones = __ "in" __ head:Name tail:(_ "," _ zone:Name { return zone; })* { return [head, ...tail]; }
AtMost = __ "at" __ "most" __ hosts:Integer __ "per" __ "zone" { return hosts; }
AtLeast = __ "capacity" __ capacity:Integer { return capacity; }
Share = __ "share" __ share:Integer { return share; }
Repeatability = "repeatable" / "not-repeatable"

SetObjective = "set" __ "objective" __ "for" __ "service" __ serviceId:Name __ "whole" __ answeredWholePercent:ObjectivePercent __ "first" __ "token" __ firstTokenPercent:ObjectivePercent __ "within" __ firstTokenMs:BoundMs _ "ms" { return {type: 'setObjective', serviceId, objective: {answeredWholePercent, firstTokenPercent, firstTokenMs}}; }

SetReplicas = "set" __ "replicas" __ "of" __ "fleet" __ fleetId:Name __ "to" __ replicas:Integer { return {type: 'setReplicas', fleetId, replicas}; }
Load = "load" __ "adapter" __ adapter:Adapter __ "on" __ "fleet" __ fleetId:Name { return {type: 'loadAdapter', ...adapter, fleetId}; }
  / "load" __ versionId:Version __ "on" __ "fleet" __ fleetId:Name { return {type: 'load', versionId, fleetId}; }
Unload = "unload" __ "adapter" __ adapter:Adapter __ "from" __ "fleet" __ fleetId:Name { return {type: 'unloadAdapter', ...adapter, fleetId}; }
Withdraw = "withdraw" __ "version" __ versionId:Version { return {type: 'withdrawVersion', versionId}; }
  / "withdraw" __ "adapter" __ adapter:Adapter { return {type: 'withdrawAdapter', ...adapter}; }
Retire = "retire" __ "fleet" __ fleetId:Name { return {type: 'retireFleet', fleetId}; }
  / "retire" __ "version" __ versionId:Version { return {type: 'retireVersion', versionId}; }
  / "retire" __ "adapter" __ adapter:Adapter { return {type: 'retireAdapter', ...adapter}; }
Move = "move" __ percent:Percent __ "of" __ modelId:Name __ "from" __ "fleet" __ fromFleetId:Name __ "to" __ "fleet" __ toFleetId:Name steps:Steps { return {type: 'startRollout', percent, modelId, fromFleetId, toFleetId, ...steps}; }
  / "move" __ percent:Percent __ "of" __ modelId:Name __ "from" __ "fleet" __ fromFleetId:Name __ "to" __ "fleet" __ toFleetId:Name { return {type: 'moveTraffic', percent, modelId, fromFleetId, toFleetId}; }
Steps = __ "in" __ "steps" __ "of" __ stepPercent:Percent hold:Hold? limit:ErrorLimit? { return {stepPercent, holdMs: (hold ?? 60) * 1000, maxErrorPercent: limit ?? 1}; }
Hold = __ "every" __ seconds:Integer _ "s" { return seconds; }
ErrorLimit = __ "stopping" __ "above" __ percent:Percent { return percent; }
RolloutOrder = "stop" __ "move" __ "of" __ modelId:Name { return {type: 'stopRollout', modelId}; }
  / "resume" __ "move" __ "of" __ modelId:Name { return {type: 'resumeRollout', modelId}; }
  / "roll" __ "back" __ "move" __ "of" __ modelId:Name { return {type: 'rollBack', modelId}; }
HostOrder = verb:HostVerb __ "host" __ hostId:Name { return {type: verb, hostId}; }
HostVerb = "drain" { return 'drainHost'; } / "undrain" { return 'undrainHost'; } / "stop" { return 'stopHost'; }
ZoneOrder = "evacuate" __ "zone" __ zoneId:Name { return {type: 'evacuateZone', zoneId}; }
  / "restore" __ "zone" __ zoneId:Name { return {type: 'restoreZone', zoneId}; }

Show = "show" __ "requests" __ "in" __ "flight" where:Where? { return {type: 'show', subject: 'requests', where: where ?? []}; }
  / "show" __ subject:Subject where:Where? { return {type: 'show', subject, where: where ?? []}; }
Explain = "explain" __ "request" __ id:Name { return {type: 'explain', subject: 'request', id}; }
  / "explain" __ "replica" __ id:Name { return {type: 'explain', subject: 'replica', id}; }
Subject = "moves" / "replicas" / "transfers" / "hosts" / "revision" / "models" / "versions" / "adapters" / "fleets" / "services" / "teams" / "zones"
Where = __ "where" __ head:Condition tail:(__ "and" __ condition:Condition { return condition; })* { return [head, ...tail]; }
Condition = field:Field _ operator:Operator _ value:Value { return {field, operator, value, column: location().start.column}; }
Field "field name" = $[a-zA-Z]+
Operator "=, !=, <, <=, > or >=" = "<=" / ">=" / "!=" / "=" / "<" / ">"
Value "value" = $(NameText ":" NameText "/" NameText) / Version / Name

Version "version (model:label)" = $(NameText ":" NameText)
Adapter "adapter (model:label/adapter)" = versionId:$(NameText ":" NameText) "/" adapterId:$NameText { return {versionId, adapterId}; }
Name "name (letters, digits, \".\", \"-\" or \"_\", at most 64 characters)" = text:NameText { return text[0]; }
NameText = $([a-zA-Z0-9] [a-zA-Z0-9_.-]|0..63|) ![a-zA-Z0-9_.-]
Digest "manifest digest (sha256: and 64 hexadecimal digits)" = $("sha256:" [0-9a-f]|64| ![0-9a-zA-Z])
Integer "whole number" = digits:$[0-9]|1..9| ![0-9] { return Number(digits); }
Percent "percentage up to 100%" = share:Ratio &{ return share <= 100; } { return share; }
ObjectivePercent "percentage from 1% to 99.999%" = share:Ratio &{ return share >= 1 && share <= 99.999; } { return share; }
Ratio = digits:$([0-9]+ ("." [0-9]+)?) "%" { return Number(digits); }
BoundMs "milliseconds from 1 to 600000" = digits:$[0-9]+ &{ return digits >= 1 && digits <= 600000; } { return Number(digits); }

_ "space" = [ \t]*
__ "space" = [ \t]+
