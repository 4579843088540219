/** The feed as the agent sends it: only the parts that changed, merged with those held. */
import type { Feed, FeedReply, HeldFeedParts, FeedRevisions } from '@reedyard/agent';

/** The last feed as a proxy's shell holds it. */
export type FeedSnapshot = { readonly feed: Feed; readonly revisions: FeedRevisions };

/** How feeds are asked for and put together. */
export const Feeds = {
  /** What the agent is told to be held. @example Feeds.holding(null) // null */
  heldParts: (held: FeedSnapshot | null): HeldFeedParts | null =>
    held === null ? null : { life: held.feed.life, revisions: held.revisions },

  /**
   * The whole feed from what the agent told and from what its question said was held.
   *
   * @example
   * Feeds.merge(held, told).feed.origins // those told, or else those held
   */
  merge: (held: FeedSnapshot | null, told: FeedReply): FeedSnapshot => {
    const { revisions, ...rest } = told;
    return { feed: { ...held?.feed, ...rest } as Feed, revisions };
  },
} as const;
