package passhatch.fleet;

/**
 * Who is at which place of the list of addresses. Kept in pages that are never written to: a change
 * replaces the page, so that a copy of the table shares all pages that neither has changed since.
 */
final class AddressTable {

    private static final int PAGE_SIZE = 128;

    private final String[][] pages;
    private final int length;

    AddressTable(int length) {
        this.length = length;
        this.pages = new String[(length + PAGE_SIZE - 1) / PAGE_SIZE][];
    }

    /** A copy that shares what does not change. */
    AddressTable(AddressTable other) {
        this.length = other.length;
        this.pages = other.pages.clone();
    }

    int length() {
        return length;
    }

    /** The name at an address, or null. */
    String get(int addressIndex) {
        String[] page = pages[addressIndex / PAGE_SIZE];
        return page == null ? null : page[addressIndex % PAGE_SIZE];
    }

    /** Takes a name for an address; null where nobody is there any more. */
    void set(int addressIndex, String name) {
        String[] page = pages[addressIndex / PAGE_SIZE];
        String[] changed = page == null ? new String[PAGE_SIZE] : page.clone();
        changed[addressIndex % PAGE_SIZE] = name;
        pages[addressIndex / PAGE_SIZE] = changed;
    }
}
