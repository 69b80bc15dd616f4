import {parentPort, workerData} from 'node:worker_threads';
import {runClusters, type RunClustersOptions} from './run-clusters.js';

parentPort!.postMessage(await runClusters(workerData as RunClustersOptions));
