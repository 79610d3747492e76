/** Collects the pieces of a body in little more memory than the body itself. */

/** Pieces of at least this many bytes are kept as they arrive; smaller ones are merged. */
const minPieceBytes = 4096;
/** Size in bytes of the first block that small pieces are merged into; each next one doubles. */
const firstBlockBytes = 1024;
const largestBlockBytes = 64 * 1024;
/**
 * Memory in bytes that a buffer takes besides its contents: its objects, and those by which the
 * process tracks its memory.
 */
const bufferOverheadBytes = 512;

export interface BodyBuffer {
  /** Number of bytes collected. */
  readonly length: number;
  /** Memory in bytes that is held for them. */
  readonly heldBytes: number;
  add(piece: Buffer): void;
  /** Returns all that was collected, as one buffer. */
  toBuffer(): Buffer;
}

/** Creates a buffer for a body; `expectedBytes` is its size if known, else 0. */
export function createBodyBuffer(expectedBytes: number): BodyBuffer {
  const pieces: Buffer[] = [];
  let length = 0;
  let heldBytes = 0;
  /** Block that small pieces are merged into, and the number of its bytes in use. */
  let block: Buffer | undefined;
  let used = 0;
  let nextBlockBytes = firstBlockBytes;

  function keep(piece: Buffer) {
    heldBytes += piece.length + bufferOverheadBytes;
    pieces.push(piece);
  }

  /** Ends the current block, so that what follows it can be kept after it. */
  function endBlock() {
    if (!block) return;
    pieces.push(block.subarray(0, used));
    block = undefined;
  }

  function startBlock() {
    const missingBytes = expectedBytes - length;
    const size = missingBytes > 0 ? Math.min(missingBytes, nextBlockBytes) : nextBlockBytes;
    nextBlockBytes = Math.min(2 * nextBlockBytes, largestBlockBytes);
    // Memory of its own, which is freed with the block; a pool would be kept by any part of it.
    block = Buffer.allocUnsafeSlow(size);
    used = 0;
    heldBytes += size + bufferOverheadBytes;
  }

  function merge(piece: Buffer) {
    if (!block) startBlock();
    const copied = piece.copy(block!, used);
    used += copied;
    length += copied;
    if (used === block!.length) endBlock();
    if (copied < piece.length) merge(piece.subarray(copied));
  }

  return {
    get length() {
      return length;
    },
    get heldBytes() {
      return heldBytes;
    },
    add(piece) {
      const isWhole = length === 0 && piece.length === expectedBytes;
      if (piece.length < minPieceBytes && !isWhole) {
        merge(piece);
        return;
      }
      endBlock();
      keep(piece);
      length += piece.length;
    },
    toBuffer() {
      endBlock();
      return pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces, length);
    },
  };
}
