/** One form of statement, as shown by the shell's help and the command reference. */
export type StatementForm = {
	readonly form: string;
	readonly description: string;
	/** Minimum role of the token that sends it. */
	readonly role: 'read' | 'operate' | 'administer';
	/** A complete line; a test checks that it parses. */
	readonly example: string;
};

const manifest = `sha256:${'0'.repeat(64)}`;

/** Every statement form of the operators' language. */
export const statementForms: readonly StatementForm[] = [
	{
		form: 'create model MODEL',
		description: 'A model that callers may name.',
		role: 'administer',
		example: 'create model pitch-desk',
	},
	{
		form: 'create version MODEL:LABEL from manifest DIGEST',
		description: 'A version; its weights are named by the digest of their manifest.',
		role: 'administer',
		example: `create version pitch-desk:v1 from manifest ${manifest}`,
	},
	{
		form: 'create adapter MODEL:LABEL/ADAPTER from manifest DIGEST',
		description: 'An adapter to one version, whose manifest names the version\'s own. Callers ask for it as model "MODEL/ADAPTER".',
		role: 'administer',
		example: `create adapter pitch-desk:v1/menu-tone from manifest ${manifest}`,
	},
	{
		form: 'create fleet FLEET provider PROVIDER for MODEL:LABEL replicas N [in ZONE, ...] [at most N per zone] [capacity N]',
		description: 'Hosts of one provider that carry one version; it carries weights after its first load.',
		role: 'administer',
		example: 'create fleet fair-mornings provider new for pitch-desk:v1 replicas 40 in tacoma-hall, salem-hall',
	},
	{
		form: 'create service SERVICE repeatable|not-repeatable',
		description: 'Whether calls to a service may run twice. A plain service that announces itself first is not repeatable.',
		role: 'administer',
		example: 'create service gate-log repeatable',
	},
	{
		form: 'create team TEAM key KEY [share N]',
		description: 'A team of callers. Only a digest of the key is kept.',
		role: 'administer',
		example: 'create team marshals key open-sesame share 3',
	},
	{
		form: 'set objective for service SERVICE whole P% first token P% within N ms',
		description: 'What the burn report measures a service against. Without it: 99.9% whole, 95% within 1000 ms.',
		role: 'administer',
		example: 'set objective for service bp-writers whole 99.9% first token 95% within 1000 ms',
	},
	{
		form: 'load MODEL:LABEL on fleet FLEET',
		description: 'Brings a version to the hosts of a fleet, and has them serve it.',
		role: 'operate',
		example: 'load pitch-desk:v2 on fleet fair-mornings',
	},
	{
		form: 'load adapter MODEL:LABEL/ADAPTER on fleet FLEET',
		description: 'Has the hosts of a fleet serve an adapter beside its version, at most 8 to a version; one to a version that the fleet does not serve yet waits for it.',
		role: 'operate',
		example: 'load adapter pitch-desk:v2/menu-tone on fleet fair-mornings',
	},
	{
		form: 'unload adapter MODEL:LABEL/ADAPTER from fleet FLEET',
		description: 'Takes an adapter off a fleet; what runs is finished.',
		role: 'operate',
		example: 'unload adapter pitch-desk:v2/menu-tone from fleet fair-mornings',
	},
	{
		form: 'withdraw version MODEL:LABEL',
		description: 'No fleet serves the version any more; each returns to the one before.',
		role: 'operate',
		example: 'withdraw version pitch-desk:v2',
	},
	{
		form: 'withdraw adapter MODEL:LABEL/ADAPTER',
		description: 'Takes an adapter off all fleets, for good; what runs is finished.',
		role: 'operate',
		example: 'withdraw adapter pitch-desk:v2/menu-tone',
	},
	{
		form: 'move P% of MODEL from fleet FLEET to fleet FLEET',
		description: 'Moves a share of a model\'s traffic.',
		role: 'operate',
		example: 'move 20% of pitch-desk from fleet old to fleet fair-mornings',
	},
	{
		form: 'move P% of MODEL from fleet FLEET to fleet FLEET in steps of P% [every N s] [stopping above P%]',
		description: 'Moves it step by step; stops by itself when requests to the new fleet fail, or the burn of the service rises to a page. Without more: every 60 s, above 1%.',
		role: 'operate',
		example: 'move 100% of pitch-desk from fleet old to fleet fair-mornings in steps of 10% every 60 s stopping above 1%',
	},
	{
		form: 'stop move of MODEL',
		description: 'Stops a move in steps where it is.',
		role: 'operate',
		example: 'stop move of pitch-desk',
	},
	{
		form: 'resume move of MODEL',
		description: 'Goes on with a move that stopped.',
		role: 'operate',
		example: 'resume move of pitch-desk',
	},
	{
		form: 'roll back move of MODEL',
		description: 'Gives all fleets their shares from before the move, at once.',
		role: 'operate',
		example: 'roll back move of pitch-desk',
	},
	{
		form: 'set replicas of fleet FLEET to N',
		description: 'Changes how many hosts a fleet has.',
		role: 'operate',
		example: 'set replicas of fleet fair-mornings to 12',
	},
	{
		form: 'retire fleet FLEET',
		description: 'Ends a fleet without traffic; its hosts are free for others.',
		role: 'operate',
		example: 'retire fleet old',
	},
	{
		form: 'retire version MODEL:LABEL',
		description: 'Forgets a version that no fleet names.',
		role: 'operate',
		example: 'retire version pitch-desk:v1',
	},
	{
		form: 'retire adapter MODEL:LABEL/ADAPTER',
		description: 'Forgets an adapter that no fleet carries; its version can be retired once it has none.',
		role: 'operate',
		example: 'retire adapter pitch-desk:v1/menu-tone',
	},
	{
		form: 'drain host HOST',
		description: 'Takes work off a host; what runs is finished, and the process goes on.',
		role: 'operate',
		example: 'drain host h17',
	},
	{
		form: 'undrain host HOST',
		description: 'Takes a drain back.',
		role: 'operate',
		example: 'undrain host h17',
	},
	{
		form: 'stop host HOST',
		description: 'Ends the process on a host once what runs is finished.',
		role: 'operate',
		example: 'stop host h17',
	},
	{
		form: 'evacuate zone ZONE',
		description: 'Takes work off all hosts of a zone, also those that join it later; what runs is finished, and the processes go on.',
		role: 'operate',
		example: 'evacuate zone salem-hall',
	},
	{
		form: 'restore zone ZONE',
		description: 'Takes an evacuation back; drained hosts of the zone stay drained.',
		role: 'operate',
		example: 'restore zone salem-hall',
	},
	{
		form: 'show SUBJECT [where FIELD OPERATOR VALUE [and ...]]',
		description: 'Rows about one subject. Text is compared in the order of the alphabet, numbers by size.',
		role: 'read',
		example: 'show replicas where version = pitch-desk:v2 and zone = tacoma-hall',
	},
	{
		form: 'show requests in flight [where ...]',
		description: 'Requests that any entry carries now.',
		role: 'read',
		example: 'show requests in flight where team = marshals',
	},
	{
		form: 'explain request ID',
		description: 'What the entries know of a request: team, attempts, hosts, verdicts, times.',
		role: 'read',
		example: 'explain request 1f0c9c1e-7b1e-4f7e-9a53-2f6f1f7a9d10',
	},
	{
		form: 'explain replica HOST',
		description: 'Why a host serves or does not: lease, configuration, orders, assignment, weights.',
		role: 'read',
		example: 'explain replica h17',
	},
];
