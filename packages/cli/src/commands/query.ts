/** Command that runs an operator query. */
import { Command, Option } from 'clipanion';
import {
  declarationsOf, explain, formatTable, parseQuery, select, type Row,
} from '@verbenashunt/core';
import { createTables, type EntryState } from '../client/tables.js';
import { exitCodes, RemoteCommand } from './remote.js';

export class QueryCommand extends RemoteCommand {
  static override paths = [['query']];

  static override usage = Command.Usage({
    category: 'Queries',
    description: 'Query targets, requests and configuration, or ask why a target gets no work.',
    details: 'See docs/operators/queries.md for the language.',
    examples: [
      ['The five busiest targets', 'verbenashunt query "targets where serving = true order by active desc limit 5"'],
      ['Why a target gets no work', 'verbenashunt query "why target engine-1"'],
    ],
  });

  query = Option.String({ name: 'query' });

  protected async run() {
    const query = parseQuery(this.query);
    const [state, { items }, { fingerprints }] = await Promise.all([
      this.read('state'), this.readConfig(), this.read('quarantine'),
    ]);
    const tables = createTables({
      state: state as unknown as EntryState,
      items,
      declarations: declarationsOf(items),
      quarantine: fingerprints as Row[],
    });
    if (query.kind === 'why') {
      const lines = explain(query, tables);
      lines.forEach((line) => this.write(this.json ? JSON.stringify(line) : line));
      return exitCodes.ok;
    }
    const rows = select(query, tables[query.resource]);
    const text = this.json ? JSON.stringify(rows) : formatTable(rows);
    if (text !== '') this.write(text);
    return exitCodes.ok;
  }
}
