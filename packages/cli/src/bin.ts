import { createCli } from './cli.js';

await createCli().runExit(process.argv.slice(2));
