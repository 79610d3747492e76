/** Installs the dependencies if they are out of date, and builds the packages. */
import { spawnSync } from 'node:child_process';
import { existsSync, statSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

const root = fileURLToPath(new URL('..', import.meta.url));
const modifiedAt = (file) => (existsSync(file) ? statSync(file).mtimeMs : 0);

function run(command, args) {
  const stdio = ['ignore', 'inherit', 'inherit'];
  const { status } = spawnSync(command, args, { cwd: root, stdio });
  if (status !== 0) throw new Error(`${command} ${args.join(' ')} exited with status ${status}`);
}

const installedAt = modifiedAt(`${root}/node_modules/.package-lock.json`);
const lockedAt = modifiedAt(`${root}/package-lock.json`);
const clockSlackMs = 1000;
if (installedAt === 0 || installedAt < lockedAt - clockSlackMs) run('npm', ['ci']);
run('npm', ['run', '--silent', 'build']);
