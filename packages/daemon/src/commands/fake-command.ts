import process from 'node:process';
import {readFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';

/** `bitternpaddled fake KIND`: runs one fake in a process of its own, for experiments. */
export class FakeCommand extends Command {
	static override paths = [['fake']];

	static override usage = Command.Usage({
		description: 'Run a fake engine, a fake service, or a fake origin with the given weight files.',
		examples: [['An origin with one version', '$0 fake origin --listen 127.0.0.1:7300 weights.bin']],
	});

	kind = Option.String({required: true});
	files = Option.Rest();
	listen = Option.String('--listen', '127.0.0.1:0', {description: 'Expected: ip:port.'});
	chunkSizeBytes = Option.String('--chunk-size-bytes', '4194304', {description: 'Chunk size of the origin\'s manifests.'});

	override async execute(): Promise<number> {
		const fake = await this.#create();
		if (fake === null) {
			this.context.stderr.write(`kind is "${this.kind}": expected engine, service or origin\n`);
			return 2;
		}

		this.context.stdout.write(`${this.kind} listens on ${fake.address}\n`);
		await new Promise<void>(resolve => {
			for (const signal of ['SIGTERM', 'SIGINT'] as const) {
				process.once(signal, () => {
					resolve();
				});
			}
		});
		await fake.close();
		return 0;
	}

	async #create(): Promise<{address: string; close(): Promise<void>} | null> {
		const {createFakeEngine, createFakeService} = await import('@bitternpaddle/test-support');
		const {listen} = this;
		if (this.kind === 'engine') {
			return createFakeEngine({listen});
		}

		if (this.kind === 'service') {
			return createFakeService({listen});
		}

		return this.kind === 'origin' ? this.#createOrigin() : null;
	}

	async #createOrigin(): Promise<{address: string; close(): Promise<void>}> {
		const {createFakeOrigin} = await import('@bitternpaddle/test-support');
		const origin = await createFakeOrigin({listen: this.listen});
		for (const file of this.files) {
			const {manifestId} = await origin.publish(await readFile(file), Number(this.chunkSizeBytes));
			this.context.stdout.write(`${file} ${manifestId}\n`);
		}

		return origin;
	}
}
