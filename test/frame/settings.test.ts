/** Error messages for an invalid command line or environment. */
import { fileURLToPath } from 'node:url';
import { Writable } from 'node:stream';
import { Cli } from 'clipanion';
import { expect, test } from 'vitest';
import { runCli } from '@verbenashunt/cli';

async function run(args: string[]) {
  let text = '';
  const sink = new Writable({
    write(chunk: Buffer, _, done) {
      text += chunk.toString();
      done();
    },
  });
  const context = {
    ...Cli.defaultContext, stdout: sink, stderr: sink, colorDepth: 1,
  };
  const code = await runCli(args, context);
  return { code, text };
}

const argsWithoutPeerPort = ['entry', '--node', 'a', '--zone', 'z', '--region', 'r', '--http-port', '0', '--platform-url', 'http://127.0.0.1:1'];

test.each([
  ['unknown flag', ['entry', '--nope', '7'], /--nope \(VERBENASHUNT_NOPE\) with value "7" .*known are --node/],
  ['flag without a value', ['entry', '--peer-port'], /--peer-port \(VERBENASHUNT_PEER_PORT\) has no value.* 0 to 65535/],
  ['missing setting', argsWithoutPeerPort, /--peer-port \(VERBENASHUNT_PEER_PORT\) is missing.* 0 to 65535/],
  ['number out of range', [...argsWithoutPeerPort, '--peer-port', '65536'], /--peer-port \(VERBENASHUNT_PEER_PORT\) is "65536".* 0 to 65535/],
  ['text instead of a number', [...argsWithoutPeerPort, '--peer-port', '1x'], /--peer-port .* is "1x".* whole number/],
  ['value that is not in the enum', [...argsWithoutPeerPort, '--peer-port', '0', '--log-level', 'loud'], /--log-level .* is "loud".*one of trace/],
  ['value that does not match the pattern', [...argsWithoutPeerPort, '--peer-port', '0', '--zone', 'Zone!'], /--zone \(VERBENASHUNT_ZONE\) is "Zone!".*matches/],
  ['certificate without a key', [...argsWithoutPeerPort, '--peer-port', '0', '--tls-cert', 'x'], /--tls-key \(VERBENASHUNT_TLS_KEY\) is missing.*--tls-cert/],
  ['certificate file that does not exist', [...argsWithoutPeerPort, '--peer-port', '0', '--tls-cert', '/absent.pem', '--tls-key', '/absent.pem'], /--tls-(cert|key) .* is "\/absent.pem".*PEM/],
  ['unknown command', ['entri'], /"entri" is not a command; known are .*entry/],
  ['command without a required flag', ['check'], /--from is missing/],
  ['directory that does not exist', ['check', '-f', '/absent-directory'], /\/absent-directory: /],
])('error message for %s', async (_, args, message) => {
  const { code, text } = await run(args);
  expect(text).toMatch(message);
  expect(text.trim().split('\n')).toHaveLength(1);
  expect(code).toBe(2);
});

test('error message for an unknown environment variable', async () => {
  process.env.VERBENASHUNT_PEER_PROT = '9000';
  const { code, text } = await run(argsWithoutPeerPort);
  delete process.env.VERBENASHUNT_PEER_PROT;
  expect(text).toMatch(/VERBENASHUNT_PEER_PROT \(value "9000"\) is not a setting; known are/);
  expect(code).toBe(2);
});

test.each([
  ['unknown-property.yaml', 4, '/fleets/0/models/0'],
  ['wrong-type.yaml', 4, '/fleets/0/models/0/layers'],
  ['broken.yaml', 3, ''],
])('check reports file, line and path of an error: %s', async (file, line, path) => {
  const directory = fileURLToPath(new URL(`../fixtures/declarations/${file.replace('.yaml', '')}`, import.meta.url));
  const { code, text } = await run(['check', '-f', directory]);
  expect(text).toContain(`${file}:${line}: ${path}`);
  expect(code).toBe(2);
});

test.each([['entry'], ['agent'], ['check'], ['apply']])('%s --help prints its usage', async (name) => {
  const { code, text } = await run([name, '--help']);
  expect(text).toContain(`verbenashunt ${name}`);
  expect(code).toBe(0);
});
