import t from 'tap';
import {exclusionOf, permittedEndpoints, type PermissionRules} from '@bitternpaddle/coordination';

const endpoint = (id: string, zoneId: string) => ({id, announcement: {zoneId}});
const candidates = [endpoint('a', 'z1'), endpoint('b', 'z2'), endpoint('c', 'z3'), endpoint('d', 'elsewhere')];

const rules = (fields: Partial<PermissionRules> = {}): PermissionRules => ({
	evacuatedZoneIds: [], regionsByZone: new Map([['z1', 'r1'], ['z2', 'r2'], ['z3', 'r2']]), lists: {route: [], team: []}, ...fields,
});

const idsOf = (fields: Partial<PermissionRules>): string => permittedEndpoints(candidates, rules(fields)).candidates.map(({id}) => id).join('');

t.test('without lists and evacuations the candidates are returned unchanged', async t => {
	t.equal(permittedEndpoints(candidates, rules()).candidates, candidates, 'the same array, without a copy');
	t.same(permittedEndpoints([], rules({evacuatedZoneIds: ['z1']})), {candidates: [], exclusion: null}, 'a service without endpoints is no matter of permission');
});

t.test('endpoints in evacuated zones are not permitted', async t => {
	t.equal(idsOf({evacuatedZoneIds: ['z2']}), 'acd');
	t.equal(idsOf({evacuatedZoneIds: ['z1', 'elsewhere']}), 'bc', 'also zones that the settings do not contain');
	t.equal(permittedEndpoints(candidates.slice(0, 1), rules({evacuatedZoneIds: ['z1']})).exclusion, 'evacuated');
});

t.test('the lists of the route and of the team both apply', async t => {
	t.equal(idsOf({lists: {route: ['r2'], team: []}}), 'bc');
	t.equal(idsOf({lists: {route: [], team: ['r1']}}), 'a');
	t.equal(idsOf({lists: {route: ['r1', 'r2'], team: ['r2', 'r3']}}), 'bc');
	t.equal(idsOf({lists: {route: ['r1'], team: ['r2']}}), '', 'lists that exclude each other permit nothing');
});

// Guards against taking the name of a zone for that of its region.
t.test('an endpoint in an unknown zone is permitted only for requests without a list', async t => {
	t.equal(exclusionOf('elsewhere', rules({lists: {route: ['elsewhere'], team: []}})), 'region');
	t.equal(exclusionOf('elsewhere', rules()), null);
});

t.test('the reason tells whether the end of an evacuation would help', async t => {
	const reasonOf = (fields: Partial<PermissionRules>) => permittedEndpoints(candidates, rules(fields)).exclusion;
	t.equal(reasonOf({lists: {route: ['r1'], team: []}, evacuatedZoneIds: ['z1']}), 'evacuated');
	t.equal(reasonOf({lists: {route: ['r9'], team: []}, evacuatedZoneIds: ['z1']}), 'region');
	t.equal(reasonOf({lists: {route: ['r2'], team: []}, evacuatedZoneIds: ['z2']}), null);
});
