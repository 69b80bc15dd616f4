import process from 'node:process';
import {Command, Option} from 'clipanion';

/** `bitternpaddled dev`: runs the embedded system, for first steps and development. */
export class DevCommand extends Command {
	static override paths = [['dev']];

	static override usage = Command.Usage({
		description: 'Run the complete system in this process, with fake engines and a fake origin.',
		examples: [['Keep it running', '$0 dev']],
	});

	listen = Option.String('--listen', '127.0.0.1:7100', {description: 'Address of the first entry.'});

	override async execute(): Promise<number> {
		const {createDevCluster} = await import('../dev/create-dev-cluster.js');
		const cluster = await createDevCluster({listen: this.listen});
		const print = (line: string): void => {
			this.context.stdout.write(`${line}\n`);
		};

		const [entry] = cluster.entries;
		const program = 'node packages/cli/bin/bitternpaddle.js';
		const flags = `--address ${entry!.address} --token ${cluster.adminToken}`;
		print(`The entry listens on ${entry!.address}. In another terminal, run for example:`);
		print('');
		print(`  ${program} query ${flags} "show hosts"`);
		print(`  ${program} run ${flags} "create team marshals key marshals-key"`);
		print(`  ${program} run ${flags} "create model pitch-desk"`);
		print(`  ${program} run ${flags} "create version pitch-desk:v1 from manifest ${cluster.manifestIds[0]}"`);
		print(`  ${program} run ${flags} "create fleet fair-mornings provider new for pitch-desk:v1 replicas 6"`);
		print(`  ${program} run --wait ${flags} "load pitch-desk:v1 on fleet fair-mornings"`);
		print(`  ${program} query ${flags} "show replicas"`);
		print(`  curl -N http://${entry!.address}/v1/chat/completions -H "Authorization: Bearer marshals-key" -H "Content-Type: application/json" -d '{"model":"pitch-desk","stream":true,"messages":[{"role":"user","content":"hello"}]}'`);
		print('');
		print(`The origin has a second version: ${cluster.manifestIds[1]}`);
		print('Press Ctrl-C to stop.');
		await new Promise<void>(resolve => {
			for (const signal of ['SIGTERM', 'SIGINT'] as const) {
				process.once(signal, () => {
					resolve();
				});
			}
		});
		await cluster.close();
		return 0;
	}
}
