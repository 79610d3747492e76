/**
 * Labels of the request metrics. Their number is bounded, because each pair of organisation and
 * class adds time series.
 */

/** Maximum number of pairs with their own time series; all others are labelled `other`. */
export const maxLabelPairs = 1000;

export type LabelPair = Record<'organisation' | 'class', string>;

/** Creates a lookup of labels that returns the same object for the same pair. */
export function createLabelPairs(limit = maxLabelPairs) {
  const pairs = new Map<string, Map<string, LabelPair>>();
  const other: LabelPair = { organisation: 'other', class: 'other' };
  let count = 0;

  return (organisation: string, cls: string): LabelPair => {
    const known = pairs.get(organisation)?.get(cls);
    if (known) return known;
    if (count >= limit) return other;
    count += 1;
    const labels = { organisation, class: cls };
    pairs.set(organisation, (pairs.get(organisation) ?? new Map()).set(cls, labels));
    return labels;
  };
}
