/** Bodies are collected whole, in memory that is near their size however small their pieces are. */
import { expect, test } from 'vitest';
import fc from 'fast-check';
import { createBodyBuffer } from '@verbenashunt/wire';

test('all pieces are returned in order', () => {
  fc.assert(fc.property(
    fc.array(fc.uint8Array({ maxLength: 9000 }), { maxLength: 20 }),
    fc.boolean(),
    (pieces, isAnnounced) => {
      const all = Buffer.concat(pieces);
      const body = createBodyBuffer(isAnnounced ? all.length : 0);
      pieces.forEach((piece) => body.add(Buffer.from(piece)));
      expect(body.length).toBe(all.length);
      expect(body.toBuffer().equals(all)).toBe(true);
    },
  ));
});

test.each([1, 7, 4095, 4096, 65_536])('pieces of %i bytes hold at most a third more than the body', (pieceBytes) => {
  const bodyBytes = 1024 * 1024;
  const body = createBodyBuffer(0);
  Array.from({ length: Math.floor(bodyBytes / pieceBytes) }, () => Buffer.alloc(pieceBytes))
    .forEach(body.add);
  expect(body.heldBytes).toBeLessThan(bodyBytes * (4 / 3));
});

test('a body that arrives in one piece is not copied', () => {
  const piece = Buffer.from('small');
  const body = createBodyBuffer(piece.length);
  body.add(piece);
  expect(body.toBuffer()).toBe(piece);
});
