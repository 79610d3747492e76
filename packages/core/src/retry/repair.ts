/**
 * Repair of a chain that lost stages: what each stage must be sent so that the answer goes on,
 * with the KV caches of the survivors kept. Positions count over prompt and answer.
 */

/** Where a stage stands; a replacement stands at 0. */
export interface StageReport {
  /** Next position that the stage takes. */
  pos: number;
  /** Positions whose output the stage has. */
  outputs: number;
  /** First position whose output the stage can send again. */
  kept: number;
  replaced: boolean;
  /** Tokens fed to the first stage after the positions that it was offered. */
  fed: readonly number[];
  /** Positions that the stage was offered with. */
  offered: number;
}

export interface RepairQuery {
  /** Chain in order. */
  stages: readonly StageReport[];
  /** Tokens of the prompt. */
  prompt: readonly number[];
  /** Tokens of the answer that the caller has. */
  delivered: readonly number[];
}

export type RepairCommand = | { to: number; do: 'start'; tokens: number[] }
  | { to: number; do: 'feed'; pos: number; token: number }
  | { to: number; do: 'replay'; from: number };

/** Tokens of the answer known once the first stage told what it was fed. */
export function knownTokens({ stages, prompt, delivered }: RepairQuery): number[] {
  const first = stages[0]!;
  const last = stages.at(-1)!;
  // A surviving last stage sends its tokens itself.
  if (first.replaced || !last.replaced) return [...delivered];
  const index = first.offered - prompt.length;
  const beyond = first.fed.slice(Math.max(0, delivered.length - index));
  return [...delivered, ...beyond];
}

/** Brings the first stage to the end of what is known; the last stage feeds what follows. */
function feedsOf(first: StageReport, all: readonly number[]): RepairCommand[] {
  if (first.replaced || first.pos === 0) return [{ to: 0, do: 'start', tokens: [...all] }];
  return all.slice(first.pos).map((token, i) => ({
    to: 0, do: 'feed', pos: first.pos + i, token,
  }));
}

/** Whether a link can be joined again: the sender keeps what the receiver lacks. */
function joins(sender: StageReport, receiver: StageReport) {
  return sender.replaced || sender.kept <= receiver.pos;
}

/**
 * The frames that bring every stage to where it must be. Undefined when a surviving stage ran a
 * position whose token is lost, or no longer keeps outputs that the next one lacks.
 */
export function planRepair(query: RepairQuery): RepairCommand[] | undefined {
  const { stages, prompt } = query;
  const all = [...prompt, ...knownTokens(query)];
  const last = stages.at(-1)!;
  const lost = last.replaced && stages.some(({ pos }) => pos > all.length);
  const broken = stages.slice(0, -1).some((stage, i) => !joins(stage, stages[i + 1]!));
  if (lost || broken) return undefined;
  const replays = stages.flatMap((stage, i): RepairCommand[] => {
    if (stage.replaced) return [];
    const from = i === stages.length - 1 ? all.length : stages[i + 1]!.pos;
    return [{ to: i, do: 'replay', from }];
  });
  // Frames to the first stage come last, when every other stage is ready to pass them on.
  return [...replays, ...feedsOf(stages[0]!, all)];
}

export interface StageOption {
  node: string;
  lo: number;
  hi: number;
  layerMs: number;
  active: number;
  limit: number;
}

/** The target with the lowest expected time for one range of layers. */
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
