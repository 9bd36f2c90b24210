package passhatch.fleet;

/**
 * Maps each index of the address list to the name of the member at that address. The names are
 * stored in immutable pages. A change replaces a page, so copies of the table share the pages that
 * neither copy has changed.
 */
final class AddressTable {

    private static final int PAGE_SIZE = 128;

    private final String[][] pages;
    private final int length;

    AddressTable(int length) {
        this.length = length;
        this.pages = new String[(length + PAGE_SIZE - 1) / PAGE_SIZE][];
    }

    /**
     * Creates a copy of another table; the two tables share all pages that neither of them changes.
     */
    AddressTable(AddressTable other) {
        this.length = other.length;
        this.pages = other.pages.clone();
    }

    int length() {
        return length;
    }

    /** Returns the name of the member at an index, or null if there is none. */
    String get(int addressIndex) {
        String[] page = pages[addressIndex / PAGE_SIZE];
        return page == null ? null : page[addressIndex % PAGE_SIZE];
    }

    /** Sets the name of the member at an index; null means that no member is there any more. */
    void set(int addressIndex, String name) {
        String[] page = pages[addressIndex / PAGE_SIZE];
        String[] changed = page == null ? new String[PAGE_SIZE] : page.clone();
        changed[addressIndex % PAGE_SIZE] = name;
        pages[addressIndex / PAGE_SIZE] = changed;
    }
}
