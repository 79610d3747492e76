/**
 * Repair of a chain that lost stages: plans the messages to send to each stage so that generation
 * continues while the surviving stages keep their KV caches. Positions are token indices over the
 * prompt followed by the answer.
 */

/** Progress of a stage; a replacement starts at position 0. */
export interface StageReport {
  /** Next position that the stage will process. */
  pos: number;
  /** Number of positions whose output the stage has computed. */
  outputs: number;
  /** First position whose output is still buffered and can be sent again. */
  kept: number;
  /** Whether the stage replaces a lost one. */
  replaced: boolean;
  /** Tokens fed to the first stage after the positions given in its offer. */
  fed: readonly number[];
  /** Number of positions given in the stage's offer. */
  offered: number;
}

export interface RepairQuery {
  /** Stages in chain order. */
  stages: readonly StageReport[];
  /** Tokens of the prompt. */
  prompt: readonly number[];
  /** Answer tokens delivered to the caller so far. */
  delivered: readonly number[];
}

/**
 * A message to the stage with index `to`. `start` and `feed` give tokens to the first stage;
 * `replay` makes a stage send its outputs again from position `from` on.
 */
export type RepairCommand = | { to: number; do: 'start'; tokens: number[] }
  | { to: number; do: 'feed'; pos: number; token: number }
  | { to: number; do: 'replay'; from: number };

/** Answer tokens known from the deliveries and from the first stage's report. */
export function knownTokens({ stages, prompt, delivered }: RepairQuery): number[] {
  const first = stages[0]!;
  const last = stages.at(-1)!;
  // A surviving last stage sends its undelivered tokens itself.
  if (first.replaced || !last.replaced) return [...delivered];
  const offeredAnswerTokens = first.offered - prompt.length;
  const undelivered = first.fed.slice(Math.max(0, delivered.length - offeredAnswerTokens));
  return [...delivered, ...undelivered];
}

/** Sends the first stage the known tokens that it lacks; the last stage feeds it later ones. */
function firstStageCommands(first: StageReport, tokens: readonly number[]): RepairCommand[] {
  if (first.replaced || first.pos === 0) return [{ to: 0, do: 'start', tokens: [...tokens] }];
  return tokens.slice(first.pos).map((token, i) => ({
    to: 0, do: 'feed', pos: first.pos + i, token,
  }));
}

/**
 * Whether the receiver can get the outputs that it lacks: a replacement computes all of them again,
 * a surviving sender must still buffer them.
 */
function canResumeLink(sender: StageReport, receiver: StageReport) {
  return sender.replaced || sender.kept <= receiver.pos;
}

/**
 * The messages to send so that generation continues. Undefined when a surviving stage processed a
 * position whose token is lost, or no longer buffers outputs that the next stage lacks.
 */
export function planRepair(query: RepairQuery): RepairCommand[] | undefined {
  const { stages, prompt } = query;
  const tokens = [...prompt, ...knownTokens(query)];
  const last = stages.at(-1)!;
  const tokenLost = last.replaced && stages.some(({ pos }) => pos > tokens.length);
  const outputLost = stages.slice(0, -1).some((stage, i) => !canResumeLink(stage, stages[i + 1]!));
  if (tokenLost || outputLost) return undefined;
  const replays = stages.flatMap((stage, i): RepairCommand[] => {
    if (stage.replaced) return [];
    const from = i === stages.length - 1 ? tokens.length : stages[i + 1]!.pos;
    return [{ to: i, do: 'replay', from }];
  });
  // Messages to the first stage come last, once all other stages can process what it sends on.
  return [...replays, ...firstStageCommands(stages[0]!, tokens)];
}

export interface StageOption {
  node: string;
  lo: number;
  hi: number;
  layerMs: number;
  /** Requests in progress on the node. */
  active: number;
  /** Concurrency limit of the node. */
  limit: number;
}

/** The node with the lowest expected time among those that hold the whole layer range. */
export function chooseStage(
  options: readonly StageOption[],
  range: { lo: number; hi: number },
): string | undefined {
  const costOf = ({ layerMs, active, limit }: StageOption) => layerMs * (1 + active / limit);
  return options
    .filter(({ lo, hi }) => lo <= range.lo && hi >= range.hi)
    .reduce<StageOption | undefined>((best, option) => (
      !best || costOf(option) < costOf(best) ? option : best), undefined)?.node;
}
